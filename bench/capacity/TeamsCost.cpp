#include "TeamsCost.h"

#include <malloc.h>

#include <chrono>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_entry/by_entry.h"
#include "by_links/RecordCodec.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Time kNow = Time::FromSeconds(1000);
constexpr int kRepeats = 200;
constexpr int kQueues = 60;
constexpr int kRunsAWorker = 20;

double
MillisecondsSince(Clock::time_point aFrom)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aFrom).count();
}

/// @returns the mean time of one call. [ms]
template<class F>
double
MeanMilliseconds(F aCall)
{
  const auto from = Clock::now();
  for (int i = 0; i < kRepeats; ++i) {
    aCall(i);
  }
  return MillisecondsSince(from) / kRepeats;
}

std::string
KeyOf(int aTeam, int aKey)
{
  return absl::StrCat("key-of-team-", 1000 + aTeam, "-", 100 + aKey);
}

TeamId
TeamOf(int aTeam)
{
  return TeamId(absl::StrCat("team-", aTeam));
}

ClusterConfig
Configuration(int aTeams, int aKeysATeam, int aVersion)
{
  ClusterConfig::Fields config{ .mVersion = static_cast<std::uint64_t>(aVersion) };
  for (int i = 0; i < kQueues; ++i) {
    config.mQueues.push_back(
      QueuePolicy::Create(
        { .mHost = "host.example", .mPathPrefix = absl::StrCat("/queue", i, "/"), .mPool = "pool" })
        .value());
  }
  for (int i = 0; i < aTeams; ++i) {
    TeamPolicy::Fields team{
      .mName = TeamOf(i), .mKeys = {}, .mWeight = 1 + i % 100, .mQuota = {}
    };
    for (int key = 0; key < aKeysATeam; ++key) {
      team.mKeys.push_back(KeyOf(i, key));
    }
    config.mTeams.push_back(TeamPolicy::Create(std::move(team)).value());
  }
  return ClusterConfig::Create(std::move(config)).value();
}

void
FillCell(CellState& aCell, int aTeams, int aRuns)
{
  for (int i = 0; i < aRuns; ++i) {
    const auto job = absl::StrCat("job-", i / 2);
    aCell.mJobs[job].mTeam = TeamOf(i % aTeams);
    RunRow run;
    run.mDemand = Resources().WithCpuMillis(1000);
    const RunId id{
      .mTask = JobTaskKey::Create({ .mJob = job, .mIndex = static_cast<std::uint32_t>(i) }).value()
    };
    aCell.mWorkers[absl::StrCat("worker-", i / kRunsAWorker)].mRuns[id] = run;
  }
}

} // namespace

TeamsCost
MeasureTeams(int aTeams, int aKeysATeam, int aRuns)
{
  TeamsCost cost;
  const auto before = mallinfo2().uordblks;
  const auto config = Configuration(aTeams, aKeysATeam, 1);
  const auto keys = KeyTable::Create(config);
  cost.mHeapBytes = mallinfo2().uordblks - before;
  const auto bytes = EncodeMessage(LinkMessage::Create({ .mBody = config }).value());
  cost.mMessageBytes = bytes.size();
  cost.mDecodeMilliseconds = MeanMilliseconds([&](int) { DecodeMessage(bytes).value(); });
  auto state = MakeEntryState({});
  cost.mChangeMilliseconds = MeanMilliseconds([&](int aRepeat) {
    const auto version = config.Version() + 1 + static_cast<std::uint64_t>(aRepeat);
    StepEntry(state, EventOf(config.WithVersion(version)), kNow);
  });
  constexpr double kMicrosInMilli = 1000.0;
  std::size_t found = 0;
  cost.mKnownKeyMicroseconds = kMicrosInMilli * MeanMilliseconds([&](int aRepeat) {
                                 found += keys.TeamOf(KeyOf(aRepeat % aTeams, 0)) ? 1 : 0;
                               });
  cost.mUnknownKeyMicroseconds = kMicrosInMilli * MeanMilliseconds([&](int aRepeat) {
                                   found += keys.TeamOf(KeyOf(aRepeat, aKeysATeam)) ? 1 : 0;
                                 });
  if (found != kRepeats) {
    return {};
  }
  FillCell(state.mCell.emplace(), aTeams, aRuns);
  cost.mSampleMilliseconds = MeanMilliseconds([&](int) { SampleConfig(state, kNow); });
  return cost;
}

} // namespace by
