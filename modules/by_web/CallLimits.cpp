#include "by_web/CallLimits.h"

#include <cstdint>

namespace by {

namespace {

// No client meets a default that keeps to the limits which operators usually configure: 16384 bytes
// of header, 262144 of body, 3 s for a header and 15 s without a call.
constexpr std::int64_t kHeaderBytes = 32768;
constexpr std::int64_t kBodyBytes = std::int64_t{ 1024 } * 1024;
constexpr Time kHeaderTimeout = Time::FromMilliseconds(10000);
constexpr Time kIdleTimeout = Time::FromMilliseconds(60000);
/// A chunk of one byte has five bytes of framing, and more where its size has leading zeros.
constexpr std::size_t kFramingOfByte = 8;
/// A caller that has ended its sending half may have left, so its call is not kept for longer.
constexpr Time kHalfClosedBound = Time::FromMilliseconds(30000);
/// How long the caller may take to read the last answer and close its side.
constexpr Time kLingerBound = Time::FromMilliseconds(1000);

template<class T>
T
Either(T aSet, T aDefault)
{
  return aSet > T() ? aSet : aDefault;
}

} // namespace

ConnectionLimits
WithDefaults(const ConnectionLimits& aLimits)
{
  return ConnectionLimits::Create(
           { .mHeaderBytes = Either(aLimits.HeaderBytes(), kHeaderBytes),
             .mBodyBytes = Either(aLimits.BodyBytes(), kBodyBytes),
             .mHeaderTimeout = Either(aLimits.HeaderTimeout(), kHeaderTimeout),
             .mIdleTimeout = Either(aLimits.IdleTimeout(), kIdleTimeout) })
    .value();
}

std::size_t
FramingLimit(const ConnectionLimits& aLimits, std::size_t aBody)
{
  return static_cast<std::size_t>(aLimits.HeaderBytes()) + kFramingOfByte * aBody;
}

std::optional<Time>
TimeLimit(ConnectionPhase aPhase, const ConnectionLimits& aLimits)
{
  switch (aPhase) {
    case ConnectionPhase::Header:
      return aLimits.HeaderTimeout();
    case ConnectionPhase::Idle:
    case ConnectionPhase::Body:
    case ConnectionPhase::Answering:
      return aLimits.IdleTimeout();
    case ConnectionPhase::HalfClosed:
      return kHalfClosedBound;
    case ConnectionPhase::Lingering:
      return kLingerBound;
    case ConnectionPhase::New:
    case ConnectionPhase::Open:
    case ConnectionPhase::Closed:
      break;
  }
  return std::nullopt;
}

std::optional<Refusal>
RefusalOfTimeout(ConnectionPhase aPhase)
{
  switch (aPhase) {
    case ConnectionPhase::Idle:
      return Refusal::IdleTimeout;
    case ConnectionPhase::Header:
      return Refusal::HeaderTimeout;
    case ConnectionPhase::Body:
      return Refusal::BodyTimeout;
    case ConnectionPhase::Answering:
      return Refusal::AnswerTimeout;
    case ConnectionPhase::New:
    case ConnectionPhase::Open:
    case ConnectionPhase::HalfClosed:
    case ConnectionPhase::Lingering:
    case ConnectionPhase::Closed:
      break;
  }
  return std::nullopt;
}

ConnectionPhase
PhaseOf(CallProgress aProgress)
{
  if (aProgress == CallProgress::Body) {
    return ConnectionPhase::Body;
  }
  return aProgress == CallProgress::Header ? ConnectionPhase::Header : ConnectionPhase::Idle;
}

} // namespace by
