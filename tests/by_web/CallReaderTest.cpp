#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>

#include "by_web/by_web.h"

using namespace by;

namespace {

constexpr std::int64_t kHeaderBytes = 1000;
constexpr std::int64_t kBodyBytes = 4000;
/// What a connection may hold: a header, a body, and as much again as a header of what is not
/// parsed, beside the bytes that arrive at once.
constexpr std::size_t kMostHeld = 2 * kHeaderBytes + kBodyBytes;
const std::string kChunked = "POST /a HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string
Repeated(std::string_view aPart, std::size_t aTimes)
{
  std::string text;
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aPart;
  }
  return text;
}

} // namespace

TEST_GROUP(CallReader)
{
  /// Feeds bytes in pieces until the call is complete or refused, and checks what is held.
  CallProgress Feed(std::string_view aBytes, std::size_t aPiece = 64)
  {
    auto progress = mReader.Progress();
    while (!aBytes.empty() && progress != CallProgress::Complete &&
           progress != CallProgress::Refused) {
      const auto piece = aBytes.substr(0, aPiece);
      aBytes.remove_prefix(piece.size());
      progress = mReader.Read(piece, mLimits);
      CHECK(mReader.Held() <= kMostHeld + piece.size());
    }
    return progress;
  }

  void CheckRefused(CallProgress aProgress, unsigned aStatus, Refusal aReason)
  {
    CHECK(aProgress == CallProgress::Refused);
    LONGS_EQUAL(aStatus, mReader.Fault().mStatus);
    STRCMP_EQUAL(ToString(aReason), ToString(mReader.Fault().mReason));
    CHECK_EQUAL(0, mReader.Held());
  }

  ConnectionLimits mLimits =
    ConnectionLimits::Create({ .mHeaderBytes = kHeaderBytes, .mBodyBytes = kBodyBytes }).value();
  CallReader mReader;
};

/// A call was read differently when it arrived in parts.
TEST(CallReader, CallsArriveInPartsOfAnySize)
{
  const auto text = kChunked + "5;name=value\r\nhello\r\n6\r\n world\r\n0\r\nX-Trailer: t\r\n\r\n";
  for (const std::size_t piece : { 1, 2, 7, 4096 }) {
    CHECK(Feed(text, piece) == CallProgress::Complete);
    const auto request = mReader.Take();
    STRCMP_EQUAL("hello world", request.body().c_str());
    CHECK(mReader.Progress() == CallProgress::None);
    CHECK_EQUAL(0, mReader.Held());
  }
}

/// Bytes of a second call that arrive with the first were lost or read as its body.
TEST(CallReader, CallsThatFollowAreKept)
{
  const std::string first = "GET /a HTTP/1.1\r\nHost: node\r\n\r\n";
  const std::string second = "POST /b HTTP/1.1\r\nHost: node\r\nContent-Length: 3\r\n\r\nabc";
  CHECK(Feed(first + second, 4096) == CallProgress::Complete);
  STRCMP_EQUAL("/a", std::string(mReader.Take().target()).c_str());
  CHECK(mReader.Read({}, mLimits) == CallProgress::Complete);
  STRCMP_EQUAL("abc", mReader.Take().body().c_str());
}

/// A header or a body of exactly the limit was refused.
TEST(CallReader, CallsAtTheirLimitsAreTaken)
{
  std::string header = "POST /a HTTP/1.1\r\nContent-Length: 4000\r\nX-Long: ";
  header += std::string(kHeaderBytes - header.size() - 4, 'v') + "\r\n\r\n";
  CHECK(Feed(header + std::string(kBodyBytes, 'x')) == CallProgress::Complete);
  CHECK_EQUAL(kBodyBytes, mReader.Take().body().size());
}

/// Chunks of one byte were taken for an attack although the body is within its limit.
TEST(CallReader, LargestBodyInChunksOfOneByteIsTaken)
{
  CHECK(Feed(kChunked + Repeated("1\r\nx\r\n", kBodyBytes) + "0\r\n\r\n") ==
        CallProgress::Complete);
  CHECK_EQUAL(kBodyBytes, mReader.Take().body().size());
}

/// Endless fields and targets.
TEST(CallReader, EndlessHeaderIsRefused)
{
  CheckRefused(
    Feed("GET / HTTP/1.1\r\n" + Repeated("X-A: b\r\n", 100000)), 431, Refusal::HeaderTooLarge);
  mReader.Clear();
  CheckRefused(Feed("GET /" + std::string(100000, 'x')), 431, Refusal::HeaderTooLarge);
}

/// Bodies could have 64 MB, whatever the configuration said.
TEST(CallReader, LargeBodiesAreRefused)
{
  CheckRefused(
    Feed("POST /a HTTP/1.1\r\nContent-Length: 4001\r\n\r\n"), 413, Refusal::BodyTooLarge);
  mReader.Clear();
  CheckRefused(Feed(kChunked + Repeated("40\r\n" + std::string(64, 'x') + "\r\n", 1000)),
               413,
               Refusal::BodyTooLarge);
}

/// Endless trailers raised a node to 160 MB.
TEST(CallReader, EndlessTrailersAreRefused)
{
  CheckRefused(Feed(kChunked + "1\r\nx\r\n0\r\n" + Repeated("X-Trailer: t\r\n", 100000)),
               400,
               Refusal::FramingTooLarge);
  mReader.Clear();
  CheckRefused(Feed(kChunked + "1\r\nx\r\n0\r\nX-Trailer: " + std::string(100000, 't')),
               400,
               Refusal::FramingTooLarge);
}

/// An endless extension of a chunk raised a node to 160 MB.
TEST(CallReader, EndlessExtensionIsRefused)
{
  CheckRefused(
    Feed(kChunked + "1;name=" + std::string(100000, 'v')), 400, Refusal::FramingTooLarge);
}

/// Many extensions, each of them short, add up.
TEST(CallReader, ExtensionsOfManyChunksAreRefused)
{
  const auto chunk = "1;name=" + std::string(500, 'v') + "\r\nx\r\n";
  CheckRefused(Feed(kChunked + Repeated(chunk, 100)), 400, Refusal::FramingTooLarge);
}

/// A limit that was lowered did not apply to a body that was arriving.
TEST(CallReader, LoweredLimitAppliesToABodyThatArrives)
{
  CHECK(Feed("POST /a HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + std::string(2000, 'x')) ==
        CallProgress::Body);
  mLimits = ConnectionLimits::Create({ .mHeaderBytes = 1000, .mBodyBytes = 1000 }).value();
  CheckRefused(mReader.Read("x", mLimits), 413, Refusal::BodyTooLarge);
}

/// Bytes that a caller makes up kept a connection reading without a bound.
TEST(CallReader, RandomBytesAreHeldWithinTheLimits)
{
  const std::string parts[] = { "POST / HTTP/1.1\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "\r\n",
                                "1\r\nx\r\n",
                                "ffffffffffffffff\r\n",
                                "0\r\n",
                                "Content-Length: 9\r\n",
                                ";a=b",
                                "\0" };
  std::minstd_rand random(7);
  for (int round = 0; round < 200; ++round) {
    mReader.Clear();
    for (int i = 0; i < 300 && mReader.Progress() != CallProgress::Refused; ++i) {
      auto bytes = parts[random() % std::size(parts)];
      bytes += static_cast<char>(random() % 256);
      bytes.resize(bytes.size() - random() % 2);
      if (mReader.Read(bytes, mLimits) == CallProgress::Complete) {
        mReader.Take();
      }
      CHECK(mReader.Held() <= kMostHeld + bytes.size());
    }
  }
}

TEST_GROUP(WebCapacity){};

/// Callers took the descriptors that links, the store and workers need.
TEST(WebCapacity, CallersLeaveAThirdOfTheDescriptors)
{
  const auto small = CapacityFor({ .mMemory = 120 << 20, .mDescriptors = 3075 });
  CHECK(small.mConnections + small.mRefusals <= 3075 - 1025);
  CHECK(small.mConnections >= 1900);
  CHECK_EQUAL(30 << 20, small.mCallBytes);
  const auto large = CapacityFor({ .mMemory = 512 << 20, .mDescriptors = 8192 });
  CHECK_EQUAL(4096, large.mConnections);
  const auto tiny = CapacityFor({ .mMemory = 1, .mDescriptors = 1 });
  CHECK_EQUAL(1, tiny.mConnections);
}
