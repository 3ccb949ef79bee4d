#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"
#include "by_entry/KeyedConfig.h"

using namespace by;

namespace {

constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kJobPath = "/q/0123456789abcdef";

std::vector<TeamPolicy>
RedAndBlue()
{
  return {
    TeamPolicy::Create({ .mName = TeamId("red"), .mKeys = { "red-key" }, .mWeight = 1 }).value(),
    TeamPolicy::Create({ .mName = TeamId("blue"), .mKeys = { "blue-key" }, .mWeight = 1 }).value()
  };
}

/// The owner of a cell with the teams red and blue.
struct TeamsOwner : EntryFixture
{
  explicit TeamsOwner(std::uint64_t aEpoch = 3, std::vector<KeyedRecord> aRecords = {})
  {
    Deliver(TeamsConfig(1, RedAndBlue()));
    Join(true);
    Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = aEpoch - 1 }).value());
    Deliver(
      ClaimWritten::Create(
        { .mOutcome = StoreOutcome::Done,
          .mClaim =
            CellClaim::Create({ .mEpoch = aEpoch, .mNode = "n1", .mIncarnation = 1 }).value() })
        .value());
    Deliver(CellLoaded::Create(
              { .mOutcome = StoreOutcome::Done, .mEpoch = aEpoch, .mRecords = std::move(aRecords) })
              .value());
  }

  /// Makes a call and lets the store accept all appends.
  /// @returns the outcome; empty if there is none yet.
  std::optional<JobCallOutcome> Call(const std::string& aKey,
                                     JobCallKind aKind,
                                     const std::string& aPath = kJobPath)
  {
    TakeOutcomes();
    Deliver(KeyedCall(++mCall, aKey, aKind, aPath));
    for (int k = 0; k < 4; ++k) {
      Advance(Time::FromMilliseconds(50));
      for (const auto& append : Take<AppendToCell>()) {
        for (const auto& record : append.Records()) {
          Store(record);
        }
        Deliver(CellAppended::Create({ .mEpoch = append.Epoch(),
                                       .mSequence = append.Sequence(),
                                       .mOutcome = StoreOutcome::Done })
                  .value());
      }
    }
    const auto outcomes = TakeOutcomes();
    return outcomes.empty() ? std::nullopt : std::optional(outcomes.front());
  }

  void Store(const KeyedRecord& aRecord)
  {
    std::erase_if(mStored,
                  [&](const KeyedRecord& aStored) { return aStored.Key() == aRecord.Key(); });
    if (aRecord.Record()) {
      mStored.push_back(aRecord);
    }
  }

  std::uint64_t mCall{ 0 };
  std::vector<KeyedRecord> mStored;
};

/// @returns the outcome of a call of a node that decides it at once.
JobCallOutcome
OutcomeOf(EntryFixture& aNode, const JobCall& aCall)
{
  aNode.TakeOutcomes();
  aNode.Deliver(aCall);
  const auto outcomes = aNode.TakeOutcomes();
  CHECK_EQUAL(1, outcomes.size());
  return outcomes.front();
}

/// Checks that other teams learn nothing of the job of red, change nothing, and that red does.
void
CheckOnlyRedSeesTheJob(TeamsOwner& aOwner)
{
  const auto jobs = aOwner.mState.mCell->mJobs.size();
  const auto outcomes = aOwner.mState.mCell->mOutcomes.size();
  const auto stored = aOwner.mStored;
  for (const auto kind : { JobCallKind::Show, JobCallKind::Cancel, JobCallKind::Submit }) {
    CHECK(aOwner.Call("blue-key", kind) == JobCallOutcome::UnknownJob);
  }
  CHECK_EQUAL(jobs, aOwner.mState.mCell->mJobs.size());
  CHECK_EQUAL(outcomes, aOwner.mState.mCell->mOutcomes.size());
  CHECK(stored == aOwner.mStored);
  CHECK(aOwner.Call("red-key", JobCallKind::Show) == JobCallOutcome::Shown);
  CHECK(aOwner.Call("red-key", JobCallKind::Submit) == JobCallOutcome::Accepted);
}

} // namespace

TEST_GROUP(Authentication){};

/// Fails if a call runs with a key that no configuration contains, or waits for the owner first.
TEST(Authentication, AMissingOrUnknownKeyIsRefusedAtOnce)
{
  EntryFixture node;
  node.Deliver(TeamsConfig(1, RedAndBlue()));
  node.Join(false);
  for (const std::string& key :
       { std::string(), std::string("other"), std::string("red-key "), std::string(10240, 'k') }) {
    for (const auto kind : { JobCallKind::Submit, JobCallKind::Show, JobCallKind::Cancel }) {
      CHECK(OutcomeOf(node, KeyedCall(1, key, kind)) == JobCallOutcome::Unauthorized);
    }
  }
  CHECK(node.mState.mCalls.empty());
  CHECK(OutcomeOf(node, KeyedCall(1, "", JobCallKind::Show, "/none/x")) ==
        JobCallOutcome::UnknownQueue);
}

/// Fails if callers of an open queue are asked for a key, or if its jobs get a team.
TEST(Authentication, AnOpenQueueNeedsNoKey)
{
  TeamsOwner owner;
  CHECK(owner.Call("", JobCallKind::Submit, "/open/00000000000000aa") == JobCallOutcome::Accepted);
  CHECK(owner.Call("other", JobCallKind::Show, "/open/00000000000000aa") == JobCallOutcome::Shown);
  CHECK(owner.mState.mCell->mJobs.at("00000000000000aa").mTeam.IsEmpty());
}

/// Fails if a withdrawn key is served, or an added one refused, once the configuration is in force.
TEST(Authentication, KeysFollowTheConfigurationInForce)
{
  EntryFixture node;
  node.Deliver(KeyedConfig(1, { "first" }));
  node.Join(false);
  node.SetRemoteOwner(3);
  node.Deliver(KeyedCall(1, "first"));
  CHECK(node.TakeOutcomes().empty());
  CHECK(OutcomeOf(node, KeyedCall(2, "second")) == JobCallOutcome::Unauthorized);
  node.Deliver(KeyedConfig(2, { "second" }));
  CHECK(OutcomeOf(node, KeyedCall(3, "first")) == JobCallOutcome::Unauthorized);
  node.Deliver(KeyedCall(4, "second"));
  CHECK(node.TakeOutcomes().empty());
  LONGS_EQUAL(2, node.mState.mCalls.size());
}

/// Fails if a process without a configuration serves calls.
TEST(Authentication, WithoutAConfigurationCallsAreRefused)
{
  EntryFixture node;
  CHECK(OutcomeOf(node, KeyedCall(1, "first")) == JobCallOutcome::Refused);
}

/// Fails if a team sees, ends or takes over the jobs of another one by their names.
TEST(Authentication, CallsOfAnotherTeamFindNoJob)
{
  TeamsOwner owner;
  CHECK(owner.Call("red-key", JobCallKind::Submit) == JobCallOutcome::Accepted);
  CheckOnlyRedSeesTheJob(owner);
  // The successor reads the same records.
  TeamsOwner successor(4, owner.mStored);
  CHECK(successor.mState.mCell->mJobs.at(kJob).mTeam == TeamId("red"));
  CheckOnlyRedSeesTheJob(successor);
}

/// Fails if the team of a job is forgotten with its end or by a takeover after it.
TEST(Authentication, CallsOfAnotherTeamFindNoEndedJob)
{
  TeamsOwner owner;
  CHECK(owner.Call("red-key", JobCallKind::Submit) == JobCallOutcome::Accepted);
  CHECK(owner.Call("red-key", JobCallKind::Cancel) == JobCallOutcome::Cancelled);
  LONGS_EQUAL(1, owner.mState.mCell->mOutcomes.size());
  CheckOnlyRedSeesTheJob(owner);
  TeamsOwner successor(4, owner.mStored);
  LONGS_EQUAL(1, successor.mState.mCell->mOutcomes.size());
  CheckOnlyRedSeesTheJob(successor);
}

/// Fails if a caller without a key ends the job of a team by its name in an open queue, or if a job
/// is lost to its callers when its queue is opened.
TEST(Authentication, AnOpenQueueShowsNoJobsOfOtherQueues)
{
  TeamsOwner owner;
  CHECK(owner.Call("red-key", JobCallKind::Submit) == JobCallOutcome::Accepted);
  for (const auto kind : { JobCallKind::Show, JobCallKind::Cancel, JobCallKind::Submit }) {
    CHECK(owner.Call("", kind, "/open/0123456789abcdef") == JobCallOutcome::UnknownJob);
  }
  CHECK(owner.Call("red-key", JobCallKind::Show) == JobCallOutcome::Shown);
  const auto opened = owner.mState.mConfig->OpenQueues().front().WithPathPrefix("/q/");
  owner.Deliver(owner.mState.mConfig->WithVersion(2).WithOpenQueues({ opened }));
  CHECK(owner.Call("", JobCallKind::Show) == JobCallOutcome::Shown);
}

/// Fails if an accepted job is lost to its team with the key that it was submitted with.
TEST(Authentication, AJobStaysWithItsTeamWhenTheKeyIsWithdrawn)
{
  TeamsOwner owner;
  CHECK(owner.Call("red-key", JobCallKind::Submit) == JobCallOutcome::Accepted);
  owner.Deliver(KeyedConfig(2, { "new-red-key" }));
  CHECK(owner.Call("red-key", JobCallKind::Show) == JobCallOutcome::Unauthorized);
  CHECK(owner.Call("new-red-key", JobCallKind::Show) == JobCallOutcome::Shown);
}

/// Fails if an operator can't learn which teams have a key in common, or if the line shows the key.
TEST(Authentication, TeamsWithASharedKeyAreNamed)
{
  EntryFixture node;
  auto teams = RedAndBlue();
  teams.push_back(
    TeamPolicy::Create({ .mName = TeamId("green"), .mKeys = { "red-key", "own" }, .mWeight = 1 })
      .value());
  node.Deliver(TeamsConfig(1, teams));
  node.Join(false);
  CHECK(OutcomeOf(node, KeyedCall(1, "red-key")) == JobCallOutcome::Unauthorized);
  std::string found;
  for (const auto& line : node.Take<LogLine>()) {
    CHECK(line.Detail().find("red-key") == std::string::npos);
    found += line.Event() == "key.shared" ? line.Detail() : "";
  }
  STRCMP_EQUAL("keys=1 teams=green,red", found.c_str());
}

/// Fails if refused calls, which anyone can send, fill the log, or if it shows a key.
TEST(Authentication, RefusedKeysAreCountedInOneLineASecond)
{
  EntryFixture node;
  node.Deliver(TeamsConfig(1, RedAndBlue()));
  node.Join(false);
  node.Take<LogLine>();
  std::uint64_t call = 0;
  for (int k = 0; k < 20; ++k) {
    for (const auto* key : { "wrong-key-1", "wrong-key-2", "" }) {
      node.Deliver(KeyedCall(++call, key));
    }
    node.Advance(Time::FromMilliseconds(100));
    node.Join(false);
  }
  std::size_t reports = 0;
  for (const auto& line : node.Take<LogLine>()) {
    const auto text = line.Event() + line.Subject() + line.Detail();
    for (const auto* secret : { "wrong-key", "red-key", "blue-key" }) {
      CHECK(text.find(secret) == std::string::npos);
    }
    if (line.Event() == "key.refused") {
      ++reports;
      STRCMP_EQUAL(kJobPath, line.Subject().c_str());
      CHECK(line.Detail().find("unknown=") != std::string::npos);
    }
    CHECK(line.Event() != "call.refused");
  }
  LONGS_EQUAL(2, reports);
}
