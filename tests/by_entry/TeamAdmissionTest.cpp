#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "by_cell/detail/TeamRates.h"
#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr std::uint64_t kEpoch = 3;
const TeamId kHot("hot");
const TeamId kCold("cold");

ClusterConfig
ConfigOf(std::uint64_t aVersion, const std::vector<std::pair<TeamId, std::int64_t>>& aTeams)
{
  ClusterConfig::Fields fields{ .mVersion = aVersion };
  fields.mQueues.push_back(QueuePolicy::Create({ .mHost = "h",
                                                 .mPathPrefix = "/q/",
                                                 .mPool = "pool",
                                                 .mPriority = 0,
                                                 .mMaxAttempts = 2,
                                                 .mSlowdownLimit = 2,
                                                 .mSlack = {},
                                                 .mAdvice = std::nullopt })
                             .value());
  for (const auto& [team, weight] : aTeams) {
    fields.mTeams.push_back(
      TeamPolicy::Create({ .mName = team, .mKeys = { "key of " + team.Text() }, .mWeight = weight })
        .value());
  }
  return ClusterConfig::Create(std::move(fields)).value();
}

std::string
JobName(std::uint64_t aNumber)
{
  auto text = std::to_string(aNumber);
  return std::string(16 - text.size(), '0') + text;
}

JobCall
SubmissionOf(std::uint64_t aCall, std::uint64_t aJob, const TeamId& aTeam)
{
  auto step = JobStep::Create({ .mCount = 1 }).value();
  return JobCall::Create(
           { .mCall = aCall,
             .mKind = JobCallKind::Submit,
             .mHost = "h",
             .mPath = "/q/" + JobName(aJob),
             .mDefinition =
               JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value(),
             .mKey = aTeam.IsEmpty() ? "" : "key of " + aTeam.Text() })
    .value();
}

std::vector<TeamLoad>
LoadOf(std::int64_t aPermille)
{
  return { TeamLoad::Create({ .mTeam = kHot, .mAdmittedPermille = aPermille }).value() };
}

/// A member of the owner n2 with two teams.
struct TeamMember : EntryFixture
{
  TeamMember()
  {
    Deliver(ConfigOf(1, { { kHot, 2 }, { kCold, 2 } }));
    Join(false);
    SetRemoteOwner(kEpoch);
    Take<SendToOwner>();
  }

  /// Delivers a heartbeat of the owner.
  void Beat(std::vector<TeamLoad> aLoads, std::uint64_t aEpoch = kEpoch, bool aOwner = true)
  {
    Deliver(FromOwner::Create(
              { .mMessage = LinkMessage::Create(
                              { .mBody = LinkHeartbeat::Create({ .mEpoch = aEpoch,
                                                                 .mOwner = aOwner,
                                                                 .mTeamLoads = std::move(aLoads) })
                                           .value() })
                              .value(),
                .mLink = mState.mOwnerLink })
              .value());
  }

  /// Submits jobs of a team.
  /// @returns how many were forwarded to the owner.
  std::size_t Submit(const TeamId& aTeam, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      ++mLastCall;
      Deliver(SubmissionOf(mLastCall, mLastCall, aTeam));
    }
    return CountForwarded();
  }

  /// @returns how many requests were forwarded to the owner since the last call.
  std::size_t CountForwarded()
  {
    const auto sent = Take<SendToOwner>();
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [](const auto& aSent) {
      return std::holds_alternative<CellRequest>(aSent.Message().Body());
    }));
  }

  std::uint64_t mLastCall{ 0 };
};

/// An owner with two teams and the linked member n2.
struct TeamOwner : EntryFixture
{
  TeamOwner()
  {
    Deliver(ConfigOf(1, { { kHot, 2 }, { kCold, 2 } }));
    BecomeOwner(kEpoch);
    Advance(Time::FromMilliseconds(1000));
    Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
    mOut.clear();
  }

  /// Lets the pool be short of capacity at present.
  void NoteShortage() { mState.mCell->mCapacityMissedAt["pool"] = mNow; }

  /// Forwards submissions of a team from the member.
  void Forward(const TeamId& aTeam, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      ++mLastCall;
      auto step = JobStep::Create({ .mCount = 1 }).value();
      auto request =
        CellRequest::Create(
          { .mCall = mLastCall,
            .mKind = JobCallKind::Submit,
            .mQueue = mState.mConfig->Queues().front(),
            .mJob = JobName(mLastCall),
            .mDefinition = JobDefinition::Create({ .mPayload = "p", .mSteps = { step } }).value(),
            .mTeam = aTeam })
          .value();
      Deliver(FromMember::Create(
                { .mNode = "n2", .mMessage = LinkMessage::Create({ .mBody = request }).value() })
                .value());
    }
  }

  /// Lets time pass while the store answers.
  void Pass(Time aTime)
  {
    const auto until = mNow + aTime;
    while (mNow < until) {
      Advance(Time::FromMilliseconds(50));
      for (const auto& append : Take<AppendToCell>()) {
        Deliver(CellAppended::Create({ .mEpoch = append.Epoch(),
                                       .mSequence = append.Sequence(),
                                       .mOutcome = StoreOutcome::Done })
                  .value());
      }
    }
  }

  /// Submits more than a team's rate for some time while the pool is short.
  void Flood(Time aTime, int aEach100Ms)
  {
    const auto until = mNow + aTime;
    while (mNow < until) {
      NoteShortage();
      Forward(kHot, aEach100Ms);
      Pass(Time::FromMilliseconds(100));
    }
  }

  /// Delivers a tick before which an event has waited.
  void Tick(Time aQueueDelay)
  {
    Deliver(ClockTick::Create({ .mNumber = 1, .mQueueDelay = aQueueDelay }).value());
  }

  /// @returns the replies to members since the last call.
  std::map<JobCallOutcome, int> TakeMemberOutcomes()
  {
    std::map<JobCallOutcome, int> outcomes;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* reply = std::get_if<JobReply>(&sent.Message().Body())) {
        ++outcomes[reply->Outcome()];
      }
    }
    return outcomes;
  }

  /// @returns the heartbeats to members since the last call.
  std::vector<LinkHeartbeat> TakeHeartbeats()
  {
    std::vector<LinkHeartbeat> beats;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* beat = std::get_if<LinkHeartbeat>(&sent.Message().Body())) {
        beats.push_back(*beat);
      }
    }
    return beats;
  }

  std::uint64_t mLastCall{ 0 };
};

} // namespace

/// Nodes forwarded a flood that the owner refused anyway, which took the owner's time and the
/// links' from other teams.
TEST_GROUP(TeamAdmission){};

TEST(TeamAdmission, MemberForwardsTheShareAndRefusesTheRestAtOnce)
{
  TeamMember member;
  member.Beat(LoadOf(200));
  const auto forwarded = member.Submit(kHot, 50);
  CHECK(forwarded >= 9);
  CHECK(forwarded <= 11);
  const auto replies = member.Take<ReplyToCaller>();
  CHECK_EQUAL(50 - forwarded, replies.size());
  std::map<std::int64_t, std::size_t> delays;
  for (const auto& reply : replies) {
    CHECK(reply.Reply().Outcome() == JobCallOutcome::Throttled);
    ++delays[reply.Reply().RetryAfter().Milliseconds()];
  }
  // What was refused at one moment comes back in equal parts.
  CHECK_EQUAL(4, delays.size());
  CHECK_EQUAL(1000, delays.begin()->first);
  CHECK_EQUAL(4000, delays.rbegin()->first);
  for (const auto& [delay, count] : delays) {
    CHECK(count <= 12);
  }
  // Those of other teams are forwarded, and so are other calls.
  CHECK_EQUAL(20, member.Submit(kCold, 20));
  member.Deliver(JobCall::Create({ .mCall = 900,
                                   .mKind = JobCallKind::Show,
                                   .mHost = "h",
                                   .mPath = "/q/" + JobName(1),
                                   .mKey = "key of hot" })
                   .value());
  CHECK_EQUAL(1, member.CountForwarded());
}

/// Each node sees few submissions of a team. Nodes that all began with the same rounding error
/// would all forward their first submission, or all refuse it.
TEST(TeamAdmission, NodesThatSeeOneSubmissionEachForwardTheShareTogether)
{
  std::size_t forwarded = 0;
  constexpr int kNodes = 44;
  for (int n = 0; n < kNodes; ++n) {
    TeamMember member;
    member.mState.mSettings =
      EntrySettings::Create({ .mNode = "entry-" + std::to_string(n) }).value();
    member.Beat(LoadOf(250));
    forwarded += member.Submit(kHot, 1);
  }
  CHECK(forwarded >= 5);
  CHECK(forwarded <= 18);
}

TEST(TeamAdmission, LimitExpiresWhenTheOwnerIsSilent)
{
  TeamMember member;
  auto fields = member.mState.mSettings.ToFields();
  fields.mLinkTimeout = Time::FromSeconds(60);
  member.mState.mSettings = EntrySettings::Create(std::move(fields)).value();
  member.Beat(LoadOf(1));
  member.Advance(Time::FromMilliseconds(1950));
  CHECK(member.Submit(kHot, 10) <= 1);
  member.Advance(Time::FromMilliseconds(50));
  CHECK_EQUAL(10, member.Submit(kHot, 10));
}

TEST(TeamAdmission, LimitEndsWithTheHeartbeatThatNoLongerNamesTheTeam)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  CHECK(member.Submit(kHot, 10) <= 1);
  member.Beat({});
  CHECK_EQUAL(10, member.Submit(kHot, 10));
}

TEST(TeamAdmission, LimitEndsWithTheLink)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  const auto peer = member.mState.mOwner->Link();
  member.Deliver(LinkChanged::Create({ .mPeer = peer, .mUp = false }).value());
  member.Deliver(LinkChanged::Create({ .mPeer = peer, .mUp = true, .mLink = 2 }).value());
  member.Submit(kHot, 10);
  member.Beat({});
  CHECK(member.TakeOutcomes().empty());
  CHECK_EQUAL(10, member.mState.mCalls.size());
}

TEST(TeamAdmission, LimitEndsWhenTheOwnerStepsDown)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  member.Beat({}, kEpoch, false);
  CHECK_EQUAL(0, member.Submit(kHot, 10));
  member.Beat({});
  CHECK(member.TakeOutcomes().empty());
  CHECK_EQUAL(10, member.CountForwarded());
}

/// A new owner has full buckets, and capacity may be free.
TEST(TeamAdmission, LimitEndsWithAnotherOwner)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  member.SetRemoteOwner(kEpoch + 1, "n3");
  CHECK_EQUAL(10, member.Submit(kHot, 10));
  // A late heartbeat of the earlier one says nothing.
  member.Beat(LoadOf(1), kEpoch);
  CHECK_EQUAL(10, member.Submit(kHot, 10));
}

TEST(TeamAdmission, OwnerLostWhileATeamIsLimitedLeavesCallsWaiting)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = false }).value());
  member.Submit(kHot, 5);
  CHECK(member.TakeOutcomes().empty());
  member.SetRemoteOwner(kEpoch + 1, "n3");
  CHECK_EQUAL(5, member.CountForwarded());
}

/// A refusal says that the job never runs, and an earlier owner may have accepted it.
TEST(TeamAdmission, SubmissionThatWasForwardedBeforeIsNotRefused)
{
  TeamMember member;
  CHECK_EQUAL(10, member.Submit(kHot, 10));
  const auto peer = member.mState.mOwner->Link();
  member.Deliver(LinkChanged::Create({ .mPeer = peer, .mUp = false }).value());
  member.Deliver(LinkChanged::Create({ .mPeer = peer, .mUp = true, .mLink = 2 }).value());
  member.Beat(LoadOf(1));
  CHECK_EQUAL(10, member.CountForwarded());
  CHECK(member.TakeOutcomes().empty());
}

TEST(TeamAdmission, RefusalsAtANodeNameTeamShareAndAgeInFewLines)
{
  TeamMember member;
  member.Beat(LoadOf(1));
  member.Advance(Time::FromMilliseconds(300));
  member.mOut.clear();
  member.Submit(kHot, 500);
  auto lines = member.Take<LogLine>();
  std::erase_if(lines, [](const auto& aLine) { return aLine.Event() != "call.refused"; });
  CHECK_EQUAL(5, lines.size());
  const auto& detail = lines.front().Detail();
  CHECK(detail.find("team=hot") != std::string::npos);
  CHECK(detail.find("admitted_permille=1 ") != std::string::npos);
  CHECK(detail.find("age_ms=300") != std::string::npos);
}

TEST(TeamAdmission, NothingIsRefusedWithoutTeams)
{
  TeamMember member;
  member.Deliver(ConfigOf(2, {}));
  member.Beat(LoadOf(1));
  CHECK_EQUAL(50, member.Submit(TeamId(), 50));
}

TEST(TeamAdmission, HeartbeatsNameATeamOnlyWhileItsSubmissionsAreRefused)
{
  TeamOwner owner;
  owner.Flood(Time::FromMilliseconds(2000), 2);
  const auto beats = owner.TakeHeartbeats();
  CHECK(!beats.empty());
  CHECK_EQUAL(1, beats.back().TeamLoads().size());
  CHECK(beats.back().TeamLoads().front().Team() == kHot);
  CHECK(beats.back().TeamLoads().front().AdmittedPermille() < 300);
  // Capacity is free again, and the flood is over.
  owner.Pass(Time::FromSeconds(6));
  const auto later = owner.TakeHeartbeats();
  CHECK(!later.empty());
  CHECK(later.back().TeamLoads().empty());
  // Nothing more is sent than what changes.
  owner.Pass(Time::FromSeconds(2));
  CHECK(owner.TakeHeartbeats().empty());
}

/// The owner's own callers reach the bucket without a hop. Without the share that applies at other
/// nodes, they would take the tokens of callers there.
TEST(TeamAdmission, OwnCallersOfTheOwnerGetTheShareOfOtherNodes)
{
  TeamOwner owner;
  owner.Flood(Time::FromMilliseconds(2000), 2);
  owner.Pass(Time::FromMilliseconds(1000));
  owner.NoteShortage();
  owner.Take<ReplyToCaller>();
  for (std::uint64_t n = 1; n <= 4; ++n) {
    owner.Deliver(SubmissionOf(n, 5000 + n, kHot));
  }
  CHECK(owner.Take<ReplyToCaller>().size() >= 3);
  owner.Forward(kHot, 1);
  CHECK(owner.mState.mCell->mJobs.contains(JobName(owner.mLastCall)));
}

/// An overloaded owner refused everybody's submissions on account of one team.
TEST(TeamAdmission, OverloadedOwnerShedsTheTeamBeyondItsRateFirst)
{
  TeamOwner owner;
  const auto limit = owner.mState.mSettings.OverloadDelay();
  owner.Forward(kHot, 20);
  owner.Tick(limit * 2);
  owner.TakeMemberOutcomes();
  CHECK(owner.mState.mLoad.mOverloadedAt != Time::Never());
  owner.Forward(kHot, 20);
  owner.Forward(kCold, 2);
  CHECK(owner.TakeMemberOutcomes() ==
        (std::map<JobCallOutcome, int>{ { JobCallOutcome::Throttled, 20 } }));
  CHECK(owner.mState.mCell->mJobs.contains(JobName(owner.mLastCall)));
}

TEST(TeamAdmission, OverloadedOwnerRefusesEverybodyWhenThatIsNotEnough)
{
  TeamOwner owner;
  const auto limit = owner.mState.mSettings.OverloadDelay();
  owner.Forward(kHot, 20);
  owner.Tick(limit * 2);
  owner.Forward(kCold, 1);
  owner.TakeMemberOutcomes();
  owner.mNow = owner.mNow + Time::FromMilliseconds(1000);
  owner.Tick(limit * 2);
  const auto beats = owner.TakeHeartbeats();
  CHECK(!beats.empty());
  CHECK(beats.back().Overloaded());
  owner.Forward(kCold, 1);
  CHECK(owner.TakeMemberOutcomes() ==
        (std::map<JobCallOutcome, int>{ { JobCallOutcome::Refused, 1 } }));
}

TEST(TeamAdmission, OverloadedOwnerRefusesEverybodyIfNoTeamIsFarOverItsRate)
{
  TeamOwner owner;
  // Three at the same time exceed the bucket by one, which is no reason to wait.
  owner.Forward(kHot, 3);
  owner.Tick(owner.mState.mSettings.OverloadDelay() * 2);
  owner.TakeMemberOutcomes();
  owner.Forward(kCold, 1);
  CHECK(owner.TakeMemberOutcomes() ==
        (std::map<JobCallOutcome, int>{ { JobCallOutcome::Refused, 1 } }));
}

namespace {

/// Nodes of one cell that are connected without a network, with callers that come back when they
/// are told to and give up after three seconds.
struct TeamReplay
{
  static constexpr int kNodes = 12;
  static constexpr int kTeams = 20;
  static constexpr std::int64_t kRate = 5;
  static constexpr Time kStep = Time::FromMilliseconds(10);
  static constexpr Time kPatience = Time::FromSeconds(3);

  /// One job with the answers that its caller got.
  struct Job
  {
    TeamId mTeam;
    Time mSubmitted;
    int mAttempts{ 0 };
    bool mAccepted{ false };
    bool mThrottled{ false };
  };

  TeamReplay()
  {
    std::vector<std::pair<TeamId, std::int64_t>> teams;
    for (int n = 0; n < kTeams; ++n) {
      teams.emplace_back("t" + std::to_string(n), kRate);
    }
    for (int n = 0; n < kNodes; ++n) {
      mNodes.emplace_back("n" + std::to_string(n));
      mNodes.back().Deliver(ConfigOf(1, teams));
    }
    mNodes[0].BecomeOwner(kEpoch);
    for (int n = 1; n < kNodes; ++n) {
      mNodes[n].Join(false);
      mNodes[n].SetRemoteOwner(kEpoch, "n0");
      mNodes[0].Deliver(
        MemberChanged::Create({ .mNode = "n" + std::to_string(n), .mUp = true }).value());
    }
    Exchange();
  }

  Time Now() const { return mNodes[0].mNow; }

  /// Submits a new job of a team through one node after the other.
  void Submit(int aTeam)
  {
    const auto job = mJobs.size();
    mJobs.push_back({ .mTeam = TeamId("t" + std::to_string(aTeam)), .mSubmitted = Now() });
    Attempt(job);
  }

  /// Plays one step: what is due to come back, ticks, and all messages.
  void Play()
  {
    const auto now = Now() + kStep;
    for (auto& node : mNodes) {
      node.mNow = now;
    }
    // The pool is full all the time.
    mNodes[0].mState.mCell->mCapacityMissedAt["pool"] = now;
    while (!mReturns.empty() && mReturns.begin()->first <= now) {
      const auto job = mReturns.begin()->second;
      mReturns.erase(mReturns.begin());
      Attempt(job);
    }
    for (auto& node : mNodes) {
      if (now.Milliseconds() % 50 == 0) {
        node.Deliver(ClockTick::Create({ .mNumber = 1 }).value());
        node.Join(&node == &mNodes[0]);
      }
    }
    Exchange();
  }

  void Attempt(std::size_t aJob)
  {
    auto& job = mJobs[aJob];
    ++job.mAttempts;
    const auto call = ++mLastCall;
    mCalls[call] = aJob;
    if (job.mTeam.Text() == "t0") {
      ++mHotAttempts[Now().Milliseconds() / 250];
    }
    mNodes[call % kNodes].Deliver(SubmissionOf(call, aJob, job.mTeam));
  }

  /// Delivers all messages between nodes, stores all records and takes the answers.
  void Exchange()
  {
    for (bool isBusy = true; isBusy;) {
      isBusy = false;
      for (int n = 0; n < kNodes; ++n) {
        for (const auto& effect : std::exchange(mNodes[n].mOut, {})) {
          isBusy = Perform(n, effect) || isBusy;
        }
      }
    }
  }

  bool Perform(int aNode, const EntryEffect& aEffect)
  {
    const auto& body = aEffect.Body();
    const auto name = "n" + std::to_string(aNode);
    if (const auto* up = std::get_if<SendToOwner>(&body)) {
      if (const auto* request = std::get_if<CellRequest>(&up->Message().Body());
          request != nullptr && request->Team().Text() == "t0") {
        ++mHotForwarded[Now().Milliseconds() / 1000];
      }
      mNodes[0].Deliver(
        FromMember::Create({ .mNode = name, .mMessage = up->Message(), .mReceived = Now() })
          .value());
    } else if (const auto* down = std::get_if<SendToMember>(&body)) {
      const auto to = std::stoi(down->Node().substr(1));
      mNodes[to].Deliver(FromOwner::Create({ .mMessage = down->Message() }).value());
    } else if (const auto* append = std::get_if<AppendToCell>(&body)) {
      for (const auto& record : append->Records()) {
        mStored.insert(record.Key().substr(record.Key().rfind('/') + 1));
      }
      mNodes[aNode].Deliver(CellAppended::Create({ .mEpoch = append->Epoch(),
                                                   .mSequence = append->Sequence(),
                                                   .mOutcome = StoreOutcome::Done })
                              .value());
    } else if (const auto* reply = std::get_if<ReplyToCaller>(&body)) {
      TakeAnswer(reply->Reply());
    } else {
      return false;
    }
    return true;
  }

  void TakeAnswer(const JobReply& aReply)
  {
    const auto id = mCalls.at(aReply.Call());
    auto& job = mJobs[id];
    if (aReply.Outcome() == JobCallOutcome::Accepted) {
      job.mAccepted = true;
      return;
    }
    CHECK(aReply.Outcome() == JobCallOutcome::Throttled);
    job.mThrottled = true;
    const auto back = Now() + aReply.RetryAfter();
    if (back <= job.mSubmitted + kPatience) {
      mReturns.emplace(back, id);
    }
  }

  std::deque<EntryFixture> mNodes;
  std::vector<Job> mJobs;
  std::map<std::uint64_t, std::size_t> mCalls;
  std::multimap<Time, std::size_t> mReturns;
  std::set<std::string> mStored;
  /// Attempts of the first team by quarters of a second, and those forwarded by seconds.
  std::map<std::int64_t, int> mHotAttempts;
  std::map<std::int64_t, int> mHotForwarded;
  std::uint64_t mLastCall{ 0 };
};

} // namespace

/// Load pattern: twenty teams of equal rate in a full pool, each at four fifths of it; for eight
/// seconds one submits 7.5 times as much, through all nodes. Callers need every submission of the
/// nineteen accepted at its first attempt, the rate of the one, and its usual soon after the flood.
TEST(TeamAdmission, FloodOfOneTeamCostsNineteenOthersNothing)
{
  constexpr std::int64_t kUsualMs = 250;
  constexpr std::int64_t kFloodFrom = 2000;
  constexpr std::int64_t kFloodTo = 10000;
  constexpr std::int64_t kEnd = 16000;
  TeamReplay replay;
  const auto start = replay.Now();
  for (std::int64_t ms = 0; ms < kEnd; ms += 10) {
    for (int team = 0; team < TeamReplay::kTeams; ++team) {
      if (ms % kUsualMs == (team * 10) % kUsualMs) {
        replay.Submit(team);
      }
    }
    // Two thirteenths of the usual interval, in whole steps.
    if (ms >= kFloodFrom && ms < kFloodTo && (ms / 10 * 13) % 50 < 13) {
      replay.Submit(0);
    }
    replay.Play();
  }
  for (int i = 0; i < 400; ++i) {
    replay.Play();
  }
  int accepted = 0;
  int offered = 0;
  int refusedLate = 0;
  for (std::size_t id = 0; id < replay.mJobs.size(); ++id) {
    const auto& job = replay.mJobs[id];
    if (job.mTeam.Text() != "t0") {
      CHECK(job.mAccepted);
      CHECK_EQUAL(1, job.mAttempts);
      continue;
    }
    const auto at = (job.mSubmitted - start).Milliseconds();
    const bool isInFlood = at >= kFloodFrom && at < kFloodTo;
    offered += isInFlood ? 1 : 0;
    accepted += isInFlood && job.mAccepted ? 1 : 0;
    refusedLate += at >= kFloodTo + 3000 && job.mThrottled ? 1 : 0;
    // A refused job has not left a record.
    CHECK_EQUAL(job.mAccepted, replay.mStored.contains(JobName(id)));
  }
  CHECK(offered >= 200);
  CHECK(accepted >= TeamReplay::kRate * (kFloodTo - kFloodFrom) / 1000 - 1);
  CHECK_EQUAL(0, refusedLate);
  // From the third second of the flood on, nodes forward little more than what is accepted.
  const auto second = start.Milliseconds() / 1000;
  int forwarded = 0;
  for (auto s = second + 5; s < second + 10; ++s) {
    forwarded += replay.mHotForwarded[s];
  }
  CHECK(forwarded >= 5 * TeamReplay::kRate);
  CHECK(forwarded <= 5 * 2 * TeamReplay::kRate);
  // What is refused at one time does not come back at one time.
  const auto quarter = start.Milliseconds() / 250;
  int attempts = 0;
  int most = 0;
  constexpr int kQuarters = 32;
  for (auto q = quarter + 8; q < quarter + 8 + kQuarters; ++q) {
    attempts += replay.mHotAttempts[q];
    most = std::max(most, replay.mHotAttempts[q]);
  }
  CHECK(most * kQuarters <= 2 * attempts);
}
