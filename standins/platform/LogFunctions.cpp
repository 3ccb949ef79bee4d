#include "platform/LogFunctions.h"

#include <algorithm>

namespace by::standins {

namespace {

constexpr std::int64_t kThousandths = 1000;

void
RefillTokens(PlatformLog& aLog, std::int64_t aRate, Time aNow)
{
  const auto passed = aNow - aLog.mTokensAt;
  const auto added = std::min(passed.Milliseconds(), kThousandths) * aRate;
  aLog.mTokens = std::min(aLog.mTokens + added, aRate * kThousandths);
  aLog.mTokensAt = aNow;
}

} // namespace

absl::StatusOr<AppendResult>
Append(PlatformLog& aLog,
       const AppendBody& aBody,
       const PlatformStandinSettings& aSettings,
       Time aNow)
{
  RefillTokens(aLog, aSettings.AppendRate(), aNow);
  const auto cost = static_cast<std::int64_t>(aBody.Records().size()) * kThousandths;
  if (cost > aLog.mTokens) {
    return absl::ResourceExhaustedError("too many appends");
  }
  aLog.mTokens -= cost;
  const auto first = aLog.mNextOffset;
  for (const auto& record : aBody.Records()) {
    aLog.mRecords.push_back(record.WithOffset(aLog.mNextOffset++).WithAt(aNow));
  }
  Expire(aLog, aSettings, aNow);
  return AppendResult::Create({ .mFirstOffset = first });
}

void
Expire(PlatformLog& aLog, const PlatformStandinSettings& aSettings, Time aNow)
{
  const auto oldest = aNow - aSettings.Retention();
  const auto most = static_cast<std::size_t>(aSettings.RetentionCount());
  while (!aLog.mRecords.empty() &&
         (aLog.mRecords.size() > most || aLog.mRecords.front().At() < oldest)) {
    aLog.mRecords.pop_front();
  }
}

ReadResult
Read(const PlatformLog& aLog, std::uint64_t aFrom, std::size_t aLimit)
{
  const auto first = aLog.mNextOffset - aLog.mRecords.size();
  const auto from = std::clamp(aFrom, first, aLog.mNextOffset);
  const auto count = std::min<std::size_t>(aLimit, aLog.mNextOffset - from);
  const auto begin = aLog.mRecords.begin() + static_cast<std::ptrdiff_t>(from - first);
  return ReadResult::Create({ .mFirstAvailable = first,
                              .mNextOffset = aLog.mNextOffset,
                              .mRecords = { begin, begin + static_cast<std::ptrdiff_t>(count) } })
    .value();
}

} // namespace by::standins
