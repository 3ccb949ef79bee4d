#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_schema/ConnectionLimits.h"
#include "by_web/CallFault.h"
#include "by_web/CallProgress.h"

namespace by {

/// Reads calls out of the bytes of one connection. What it holds stays within the limits, whatever
/// the bytes are.
class CallReader
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  /// Reads on in the call that is arriving.
  /// @param aBytes what has arrived since; bytes of later calls are kept.
  /// @param aLimits all of them set.
  CallProgress Read(std::string_view aBytes, const ConnectionLimits& aLimits);

  /// Keeps bytes of later calls, to be read when their turn comes.
  void Keep(std::string_view aBytes) { mRest.append(aBytes); }

  /// @returns how far the call has arrived.
  CallProgress Progress() const { return mProgress; }

  /// @returns what was wrong, once a call is refused.
  const CallFault& Fault() const { return mFault; }

  /// @returns whether the caller waits for leave to send the body.
  bool ExpectsContinue() const;

  /// @returns bytes that are held of calls that have not been taken.
  std::size_t Held() const;

  /// Takes the complete call and begins the next one.
  Request Take();

  /// Forgets everything that has arrived.
  void Clear();

private:
  using ErrorCode = boost::beast::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  std::size_t Parse(std::string_view aBytes, const ConnectionLimits& aLimits);
  void ParseHeader(std::string_view& aBytes, const ConnectionLimits& aLimits);
  void ParseBody(std::string_view& aBytes, const ConnectionLimits& aLimits);
  void Refuse(const ErrorCode& aError);
  void Refuse(unsigned aStatus, Refusal aReason);

  /// Bytes that have arrived and are not parsed.
  std::string mRest;
  std::optional<Parser> mParser;
  CallProgress mProgress{ CallProgress::None };
  CallFault mFault;
  /// Parsed bytes of the call: its header, and everything behind it.
  std::size_t mHeaderBytes{ 0 };
  std::size_t mBehindHeader{ 0 };
};

} // namespace by
