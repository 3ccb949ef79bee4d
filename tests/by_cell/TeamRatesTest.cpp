#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "by_cell/CellFixture.h"
#include "by_cell/LoadReplay.h"
#include "by_cell/TakeAll.h"
#include "by_cell/detail/TeamRates.h"
#include "by_queueing/by_queueing.h"

using namespace by;

namespace {

const TeamId kHot("hot");
const TeamId kOther("other");

/// A cell with two workers of four cores and two teams.
struct TeamCell : CellFixture
{
  TeamCell() { Configure({ { "hot", 2 }, { "other", 2 } }); }

  void Configure(const std::vector<std::pair<std::string, std::int64_t>>& aTeams)
  {
    auto fields = mCell.mConfig.ToFields();
    ++fields.mVersion;
    fields.mTeams.clear();
    for (const auto& [name, weight] : aTeams) {
      fields.mTeams.push_back(
        TeamPolicy::Create({ .mName = TeamId(name), .mWeight = weight }).value());
    }
    ConfigureCell(mCell, ClusterConfig::Create(std::move(fields)).value());
  }

  /// Submits a job of a team through a node.
  void SubmitFor(const TeamId& aTeam, const std::string& aJob, const std::string& aNode = "n2")
  {
    auto step = Step(1);
    step.mEstimate = Time::FromSeconds(60);
    auto fields = Submission(aJob, { step }).ToFields();
    fields.mTeam = aTeam;
    HandleRequest(mCell, { aNode, 1 }, CellRequest::Create(std::move(fields)).value(), mNow, mOut);
  }

  /// Submits jobs of a team at the same time.
  /// @returns how many were accepted.
  int SubmitMany(const TeamId& aTeam, const std::string& aPrefix, int aCount)
  {
    int accepted = 0;
    for (int i = 0; i < aCount; ++i) {
      SubmitFor(aTeam, aPrefix + std::to_string(i));
      accepted += mCell.mJobs.contains(aPrefix + std::to_string(i)) ? 1 : 0;
    }
    return accepted;
  }

  /// Fills the pool, so that the last task waits for capacity.
  void FillPool()
  {
    Submit("full", { Step(8) });
    Submit("waits", { Step(1) });
    CHECK(mCell.mReady.size() == 1);
  }

  /// Lets time pass while the store answers and the pool stays full.
  void AdvanceTimeFull(Time aTime)
  {
    const auto until = mNow + aTime;
    while (mNow < until) {
      AdvanceTimeStoring(Time::FromMilliseconds(50));
      mCell.mCapacityMissedAt["pool"] = mNow;
    }
  }

  /// @returns the replies to callers of other nodes since the last call.
  std::vector<JobReply> TakeMemberReplies()
  {
    std::vector<JobReply> replies;
    for (const auto& sent : TakeAll<SendToMember>(mOut)) {
      if (const auto* reply = std::get_if<JobReply>(&sent.Message().Body())) {
        replies.push_back(*reply);
      }
    }
    return replies;
  }

  /// @returns the details of the log lines of a kind since the last call.
  std::vector<std::string> TakeLog(const std::string& aEvent)
  {
    std::vector<std::string> details;
    for (const auto& line : TakeAll<LogLine>(mOut)) {
      if (line.Event() == aEvent) {
        details.push_back(line.Detail());
      }
    }
    return details;
  }
};

} // namespace

TEST_GROUP(TeamRates){};

/// Idle capacity that nobody is refused for would be lost.
TEST(TeamRates, IdleCapacityAcceptsTheExcess)
{
  TeamCell cell;
  CHECK_EQUAL(6, cell.SubmitMany(kHot, "j", 6));
  CHECK(!cell.mCell.mJobs.at("j0").mIsExcess);
  CHECK(!cell.mCell.mJobs.at("j1").mIsExcess);
  for (int i = 2; i < 6; ++i) {
    CHECK(cell.mCell.mJobs.at("j" + std::to_string(i)).mIsExcess);
  }
  cell.StoreAll();
  CHECK_EQUAL(6, cell.TakeStarts().size());
}

TEST(TeamRates, ExcessIsRefusedWhileItsPoolIsShort)
{
  TeamCell cell;
  cell.FillPool();
  cell.mOut.clear();
  const auto records = cell.mRecords.size();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  const auto replies = cell.TakeMemberReplies();
  // The accepted ones are answered when they are stored.
  CHECK_EQUAL(4, replies.size());
  for (const auto& reply : replies) {
    CHECK(reply.Outcome() == JobCallOutcome::Throttled);
    CHECK(reply.RetryAfter() >= Time::FromSeconds(1));
    CHECK(reply.RetryAfter() <= Time::FromSeconds(4));
  }
  // The other team is not affected.
  CHECK_EQUAL(2, cell.SubmitMany(kOther, "k", 2));
  // A refused job leaves nothing behind, in the store or in memory.
  cell.StoreAll();
  CHECK(cell.mRecords.size() > records);
  for (const auto& record : cell.mRecords) {
    for (int i = 2; i < 6; ++i) {
      CHECK(record.Key().find("j" + std::to_string(i)) == std::string::npos);
    }
  }
}

TEST(TeamRates, ExcessIsAcceptedAgainASecondAfterTheShortage)
{
  TeamCell cell;
  cell.FillPool();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  cell.Call(JobCallKind::Cancel, "full");
  cell.Call(JobCallKind::Cancel, "waits");
  for (const auto* id : { "j0", "j1" }) {
    cell.Call(JobCallKind::Cancel, id);
  }
  cell.StoreAll();
  cell.AdvanceTime(Time::FromMilliseconds(1100));
  CHECK_EQUAL(6, cell.SubmitMany(kHot, "k", 6));
}

/// A submission without an answer is repeated. If the owner has the job, a refusal would say that
/// it never runs.
TEST(TeamRates, KnownJobsAreAnsweredBeyondTheRate)
{
  TeamCell cell;
  cell.FillPool();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 4));
  cell.StoreAll();
  cell.mOut.clear();
  cell.SubmitFor(kHot, "j1");
  auto replies = cell.TakeMemberReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies[0].Outcome() == JobCallOutcome::Accepted);
  cell.Call(JobCallKind::Cancel, "j1");
  cell.StoreAll();
  cell.mOut.clear();
  cell.SubmitFor(kHot, "j1");
  replies = cell.TakeMemberReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies[0].Outcome() == JobCallOutcome::Accepted);
}

/// A job that waits for tickets of the advice service says nothing of the capacity, but a large
/// number of open jobs would have everybody's submissions refused.
TEST(TeamRates, ExcessLeavesHalfOfTheOpenJobsToOthers)
{
  TeamCell cell;
  cell.mCell.mSettings = CellSettings::Create([] {
                           CellSettings::Fields fields;
                           fields.mJobLimit = 20;
                           return fields;
                         }())
                           .value();
  CHECK_EQUAL(10, cell.SubmitMany(kHot, "j", 15));
  CHECK_EQUAL(2, cell.SubmitMany(kOther, "k", 2));
}

TEST(TeamRates, OverloadedOwnerRefusesTheExcess)
{
  TeamCell cell;
  cell.mCell.mIsBehind = true;
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  CHECK_EQUAL(2, cell.SubmitMany(kOther, "k", 2));
}

/// A configuration without teams is served as before.
TEST(TeamRates, NothingIsMeteredWithoutTeams)
{
  TeamCell cell;
  cell.Configure({});
  cell.FillPool();
  // The node's configuration has teams already, or still.
  CHECK_EQUAL(50, cell.SubmitMany(kHot, "j", 50));
  CHECK_EQUAL(50, cell.SubmitMany(TeamId(), "k", 50));
  CHECK(cell.mCell.mTeamRates.empty());
  CHECK(cell.mCell.mCapacityMissedAt.empty());
}

/// A step that waits for tickets, or a gang that fits, says nothing of the capacity. Time zero in
/// its place counted as a shortage at a clock that has just begun.
TEST(TeamRates, PoolWithFreeCapacityIsNotNotedAsShort)
{
  TeamCell cell;
  cell.mQueue = QueuePolicy::Create([&] {
                  auto fields = cell.mQueue.ToFields();
                  fields.mAdvice =
                    AdvicePolicy::Create(
                      { .mDecisionUs = 1000, .mWorkerUs = 10, .mValidity = Time::FromSeconds(2) })
                      .value();
                  return fields;
                }())
                  .value();
  auto fields = cell.mCell.mConfig.ToFields();
  fields.mQueues = { cell.mQueue };
  ConfigureCell(cell.mCell, ClusterConfig::Create(std::move(fields)).value());
  cell.Submit("waits", { CellFixture::Step(1) });
  CHECK(!cell.mCell.mReady.empty());
  CHECK(cell.mCell.mCapacityMissedAt.empty());
  CHECK_EQUAL(6, cell.SubmitMany(kHot, "j", 6));
}

TEST(TeamRates, WeightOfZeroGetsOneJobASecond)
{
  TeamCell cell;
  cell.Configure({ { "hot", 0 }, { "other", 2 } });
  cell.FillPool();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  for (int s = 0; s < 3; ++s) {
    cell.AdvanceTimeFull(Time::FromMilliseconds(1000));
    CHECK_EQUAL(1, cell.SubmitMany(kHot, "s" + std::to_string(s) + "-", 6));
  }
}

TEST(TeamRates, NewWeightAppliesAtOnce)
{
  TeamCell cell;
  cell.FillPool();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  cell.Configure({ { "hot", 10 }, { "other", 2 } });
  cell.AdvanceTimeFull(Time::FromMilliseconds(1000));
  CHECK_EQUAL(10, cell.SubmitMany(kHot, "k", 20));
  cell.Configure({ { "hot", 1 }, { "other", 2 } });
  cell.AdvanceTimeFull(Time::FromMilliseconds(1000));
  CHECK_EQUAL(1, cell.SubmitMany(kHot, "l", 20));
}

/// The share of a team that is gone would be announced, and its row kept, for good.
TEST(TeamRates, RemovedTeamIsForgotten)
{
  TeamCell cell;
  cell.FillPool();
  for (int i = 0; i < 40; ++i) {
    cell.SubmitMany(kHot, "j" + std::to_string(i) + "-", 5);
    cell.AdvanceTimeFull(Time::FromMilliseconds(100));
  }
  CHECK_EQUAL(1, detail::LimitedTeams(cell.mCell).size());
  CHECK(detail::HasTeamFarOverRate(cell.mCell));
  cell.Configure({ { "other", 2 } });
  CHECK(detail::LimitedTeams(cell.mCell).empty());
  // A node that has the earlier configuration may still forward its submissions.
  cell.AdvanceTimeFull(Time::FromMilliseconds(1000));
  CHECK_EQUAL(1, cell.SubmitMany(kHot, "k", 5));
  cell.AdvanceTimeStoring(Time::FromSeconds(20));
  CHECK(cell.mCell.mTeamRates.empty());
  CHECK(!detail::HasTeamFarOverRate(cell.mCell));
}

TEST(TeamRates, FloodIsAnnouncedAndWithdrawnWithOneLogLineEach)
{
  TeamCell cell;
  cell.FillPool();
  cell.mOut.clear();
  std::int64_t credit = 0;
  const auto start = cell.mNow;
  for (int i = 0; i < 200; ++i) {
    const auto loads = detail::LimitedTeams(cell.mCell);
    if (ForwardsNext(credit, loads.empty() ? kAllPermille : loads[0].AdmittedPermille())) {
      cell.SubmitFor(kHot, "j" + std::to_string(i));
    }
    cell.AdvanceTimeFull(Time::FromMilliseconds(50));
  }
  const auto offered = 200 * 1000 / (cell.mNow - start).Milliseconds();
  const auto limited = detail::LimitedTeams(cell.mCell);
  CHECK_EQUAL(1, limited.size());
  CHECK(limited[0].Team() == kHot);
  // The share is for 1.5 times the rate of 2 a second.
  CHECK(limited[0].AdmittedPermille() >= 2 * 1000 / offered);
  CHECK(limited[0].AdmittedPermille() <= 4 * 1000 / offered);
  cell.AdvanceTimeStoring(Time::FromSeconds(10));
  CHECK(detail::LimitedTeams(cell.mCell).empty());
  const auto changes = cell.TakeLog("team.over_rate");
  CHECK_EQUAL(2, changes.size());
  CHECK(changes[0].find("over=1") != std::string::npos);
  CHECK(changes[1].find("over=0") != std::string::npos);
}

/// A flood of refusals must not become a flood of log lines.
TEST(TeamRates, LogLinesOfRefusalsAreBounded)
{
  TeamCell cell;
  cell.FillPool();
  cell.mOut.clear();
  cell.SubmitMany(kHot, "j", 1000);
  cell.AdvanceTime(Time::FromMilliseconds(1000));
  cell.SubmitMany(kHot, "k", 1000);
  const auto lines = cell.TakeLog("job.refused");
  CHECK_EQUAL(10, lines.size());
  CHECK(lines.front().find("team=hot") != std::string::npos);
  CHECK(lines[5].find("unlogged=993") != std::string::npos);
}

/// The excess mark and the buckets are in memory only; the team of a job is stored.
TEST(TeamRates, SuccessorStartsWithFullBuckets)
{
  TeamCell cell;
  cell.FillPool();
  CHECK_EQUAL(2, cell.SubmitMany(kHot, "j", 6));
  cell.StoreAll();
  auto next = cell.Successor();
  CHECK(next.mCell.mTeamRates.empty());
  CHECK(next.mCell.mJobs.contains("j0"));
  CHECK(!next.mCell.mJobs.contains("j2"));
}

/// Load pattern: twenty teams of equal weight, of which nineteen use four fifths of their rate, in
/// a pool whose capacity is used to 83%; for six seconds one submits 7.5 times as much. Callers
/// need all submissions of the nineteen accepted, and on time as before, and the rate of the one.
TEST_GROUP(TeamLoad){};

TEST(TeamLoad, OneTeamAtManyTimesItsUsualDoesNotCostOthersAnything)
{
  constexpr std::int64_t kRate = 5;
  constexpr int kTeams = 20;
  constexpr std::int64_t kUsualMs = 250;
  constexpr std::int64_t kPlayMs = 12000;
  constexpr std::int64_t kFloodFromMs = 3000;
  constexpr std::int64_t kFloodToMs = 9000;
  std::vector<TeamId> teams;
  std::vector<LoadReplay::Arrival> arrivals;
  const auto add = [&](const TeamId& aTeam, std::int64_t aMs) {
    arrivals.push_back({ .mAt = Time::FromMilliseconds(aMs),
                         .mPriority = 3,
                         .mTasks = 3,
                         .mObjective = Time::FromMilliseconds(6200),
                         .mTeam = aTeam });
  };
  for (int n = 0; n < kTeams; ++n) {
    teams.emplace_back("t" + std::to_string(n));
    for (std::int64_t ms = 12 * n; ms < kPlayMs; ms += kUsualMs) {
      add(teams.back(), ms + (ms * 7 + n * 31) % 80);
    }
  }
  std::size_t flood = 0;
  for (std::int64_t ms = kFloodFromMs; ms < kFloodToMs; ms += 2 * kUsualMs / 13) {
    add(teams[0], ms);
    ++flood;
  }
  std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  LoadReplay replay(60, 16);
  replay.SetTeams(teams, kRate);
  replay.Play(arrivals);
  for (int n = 1; n < kTeams; ++n) {
    const auto& share = replay.mTeamShares.at(teams[n]);
    CHECK_EQUAL(0, share.mThrottled);
    CHECK_EQUAL(share.mJobs, share.mOnTime);
  }
  const auto& hot = replay.mTeamShares.at(teams[0]);
  const auto accepted = hot.mJobs - hot.mThrottled;
  const auto usual = hot.mJobs - flood;
  CHECK(hot.mThrottled > 0);
  // During the flood it gets its rate, which is more than its usual.
  CHECK(accepted >= usual + (kRate - 4) * 6);
  // A refused job has never started and has no record.
  for (const auto& job : replay.mThrottledJobs) {
    CHECK(!replay.mStartedJobs.contains(job));
    CHECK(std::none_of(replay.mRecords.begin(), replay.mRecords.end(), [&](const auto& aRecord) {
      return aRecord.Key().ends_with("/" + job);
    }));
  }
}
