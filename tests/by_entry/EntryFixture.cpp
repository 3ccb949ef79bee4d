#include "by_entry/EntryFixture.h"

namespace by {

namespace {

constexpr std::int64_t kBaseLinkPort = 7000;

Endpoint
LinkOf(const std::string& aNode)
{
  return Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = kBaseLinkPort + aNode.back() })
    .value();
}

CellClaim
ClaimOf(std::uint64_t aEpoch, const std::string& aNode, std::uint64_t aIncarnation)
{
  return CellClaim::Create({ .mEpoch = aEpoch,
                             .mNode = aNode,
                             .mIncarnation = aIncarnation,
                             .mLink = LinkOf(aNode) })
    .value();
}

} // namespace

EntryFixture::EntryFixture(const std::string& aNode)
{
  mState = MakeEntryState(
    EntrySettings::Create({ .mNode = aNode, .mIncarnation = 1, .mLink = LinkOf(aNode) }).value());
}

void
EntryFixture::Configure(std::uint64_t aVersion)
{
  auto queue = QueuePolicy::Create({ .mHost = "h",
                                     .mPathPrefix = "/q/",
                                     .mPool = "pool",
                                     .mPriority = 0,
                                     .mMaxAttempts = 2,
                                     .mSlowdownLimit = 2,
                                     .mSlack = {},
                                     .mAdvice = std::nullopt })
                 .value();
  Deliver(ClusterConfig::Create({ .mVersion = aVersion, .mQueues = { queue } }).value());
}

void
EntryFixture::Join(bool aElected)
{
  Deliver(
    GroupJoined::Create(
      { .mOutcome = StoreOutcome::Done, .mGeneration = 1, .mElected = aElected, .mSent = mNow })
      .value());
}

void
EntryFixture::SetRemoteOwner(std::uint64_t aEpoch, const std::string& aNode)
{
  Deliver(ClaimRead::Create(
            { .mOutcome = StoreOutcome::Done, .mClaim = ClaimOf(aEpoch, aNode, 9), .mEnd = aEpoch })
            .value());
  Deliver(LinkChanged::Create({ .mPeer = LinkOf(aNode), .mUp = true }).value());
  Deliver(FromOwner::Create(
            { .mMessage =
                LinkMessage::Create(
                  { .mBody = LinkHeartbeat::Create({ .mEpoch = aEpoch, .mOwner = true }).value() })
                  .value() })
            .value());
}

void
EntryFixture::BecomeOwner(std::uint64_t aEpoch)
{
  Join(true);
  Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = aEpoch - 1 }).value());
  Deliver(ClaimWritten::Create({ .mOutcome = StoreOutcome::Done,
                                 .mClaim = ClaimOf(aEpoch, mState.mSettings.Node(), 1) })
            .value());
  Deliver(CellLoaded::Create({ .mOutcome = StoreOutcome::Done, .mEpoch = aEpoch }).value());
}

void
EntryFixture::Advance(Time aTime)
{
  const auto until = mNow + aTime;
  while (mNow < until) {
    mNow = std::min(until, mNow + Time::FromMilliseconds(50));
    Deliver(ClockTick::Create({ .mNumber = 1 }).value());
  }
}

void
EntryFixture::SendCall(std::uint64_t aNumber, JobCallKind aKind, const std::string& aPath)
{
  auto step = JobStep::Create({ .mCount = 1 }).value();
  JobCall::Fields fields{ .mCall = aNumber, .mKind = aKind, .mHost = "h", .mPath = aPath };
  if (aKind == JobCallKind::Submit) {
    fields.mDefinition =
      JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value();
  }
  Deliver(JobCall::Create(std::move(fields)).value());
}

std::vector<JobCallOutcome>
EntryFixture::TakeOutcomes()
{
  std::vector<JobCallOutcome> outcomes;
  for (const auto& reply : Take<ReplyToCaller>()) {
    outcomes.push_back(reply.Reply().Outcome());
  }
  return outcomes;
}

} // namespace by
