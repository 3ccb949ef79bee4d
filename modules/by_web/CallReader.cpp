#include "by_web/CallReader.h"

#include <cstdint>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include "by_web/CallLimits.h"

namespace by {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kFieldsTooLarge = 431;

} // namespace

CallProgress
CallReader::Read(std::string_view aBytes, const ConnectionLimits& aLimits)
{
  if (mProgress == CallProgress::Complete || mProgress == CallProgress::Refused) {
    mRest.append(aBytes);
    return mProgress;
  }
  // Most calls arrive whole, so their bytes are parsed where they are.
  const bool isDirect = mRest.empty();
  if (!isDirect) {
    mRest.append(aBytes);
  }
  const auto parsed = Parse(isDirect ? aBytes : std::string_view(mRest), aLimits);
  if (mProgress == CallProgress::Refused) {
    Clear();
    mProgress = CallProgress::Refused;
  } else if (isDirect) {
    mRest.assign(aBytes.substr(parsed));
  } else if (parsed == mRest.size()) {
    std::string().swap(mRest);
  } else {
    mRest.erase(0, parsed);
  }
  return mProgress;
}

std::size_t
CallReader::Parse(std::string_view aBytes, const ConnectionLimits& aLimits)
{
  if (aBytes.empty()) {
    return 0;
  }
  auto rest = aBytes;
  if (mProgress == CallProgress::None) {
    mParser.emplace();
    mParser->header_limit(static_cast<std::uint32_t>(aLimits.HeaderBytes()));
    mParser->body_limit(static_cast<std::uint64_t>(aLimits.BodyBytes()));
    mProgress = CallProgress::Header;
  }
  if (mProgress == CallProgress::Header) {
    ParseHeader(rest, aLimits);
  }
  if (mProgress == CallProgress::Body) {
    ParseBody(rest, aLimits);
  }
  return aBytes.size() - rest.size();
}

void
CallReader::ParseHeader(std::string_view& aBytes, const ConnectionLimits& aLimits)
{
  ErrorCode error;
  const auto parsed = mParser->put(boost::asio::buffer(aBytes.data(), aBytes.size()), error);
  aBytes.remove_prefix(parsed);
  mHeaderBytes += parsed;
  if (error && error != http::error::need_more) {
    Refuse(error);
  } else if (mParser->is_done()) {
    mProgress = CallProgress::Complete;
  } else if (mParser->is_header_done()) {
    mParser->eager(true);
    mProgress = CallProgress::Body;
  } else if (mHeaderBytes + aBytes.size() > static_cast<std::size_t>(aLimits.HeaderBytes())) {
    Refuse(kFieldsTooLarge, Refusal::HeaderTooLarge);
  }
}

void
CallReader::ParseBody(std::string_view& aBytes, const ConnectionLimits& aLimits)
{
  ErrorCode error;
  while (!aBytes.empty() && !error && !mParser->is_done()) {
    const auto parsed = mParser->put(boost::asio::buffer(aBytes.data(), aBytes.size()), error);
    aBytes.remove_prefix(parsed);
    mBehindHeader += parsed;
    if (parsed == 0) {
      break;
    }
  }
  const auto body = mParser->get().body().size();
  if (error && error != http::error::need_more) {
    Refuse(error);
  } else if (body > static_cast<std::size_t>(aLimits.BodyBytes())) {
    Refuse(kPayloadTooLarge, Refusal::BodyTooLarge);
  } else if (mBehindHeader - body > FramingLimit(aLimits, body) ||
             (!mParser->is_done() &&
              aBytes.size() > static_cast<std::size_t>(aLimits.HeaderBytes()))) {
    // The parser keeps a chunk's extension and the trailers unparsed until they are complete.
    Refuse(kBadRequest, Refusal::FramingTooLarge);
  } else if (mParser->is_done()) {
    mProgress = CallProgress::Complete;
  }
}

void
CallReader::Refuse(const ErrorCode& aError)
{
  if (aError == http::error::body_limit) {
    Refuse(kPayloadTooLarge, Refusal::BodyTooLarge);
  } else if (aError == http::error::header_limit) {
    Refuse(kFieldsTooLarge, Refusal::HeaderTooLarge);
  } else {
    Refuse(kBadRequest, Refusal::Malformed);
  }
}

void
CallReader::Refuse(unsigned aStatus, Refusal aReason)
{
  mFault = { .mStatus = aStatus, .mReason = aReason };
  mProgress = CallProgress::Refused;
}

bool
CallReader::ExpectsContinue() const
{
  return mProgress == CallProgress::Body &&
         boost::beast::iequals(mParser->get()[http::field::expect], "100-continue");
}

std::size_t
CallReader::Held() const
{
  return mRest.size() + mHeaderBytes + (mParser ? mParser->get().body().size() : 0);
}

CallReader::Request
CallReader::Take()
{
  auto request = mParser->release();
  auto rest = std::move(mRest);
  Clear();
  mRest = std::move(rest);
  return request;
}

void
CallReader::Clear()
{
  std::string().swap(mRest);
  mParser.reset();
  mProgress = CallProgress::None;
  mHeaderBytes = 0;
  mBehindHeader = 0;
}

} // namespace by
