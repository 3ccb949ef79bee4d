#include "LinkSimulation.h"

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace by {

namespace {

constexpr int kMembers = 3;
constexpr int kMostEventsAStep = 8;
constexpr int kMostEffects = 12;
constexpr std::uint64_t kEpoch = 3;

CellClaim
Claim()
{
  return CellClaim::Create(
           { .mEpoch = kEpoch,
             .mNode = "owner",
             .mIncarnation = 1,
             .mLink = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 7000 }).value() })
    .value();
}

QueuePolicy
Queue()
{
  return QueuePolicy::Create({ .mHost = "h",
                               .mPathPrefix = "/q/",
                               .mPool = "pool",
                               .mPriority = 0,
                               .mMaxAttempts = 2,
                               .mSlowdownLimit = 2,
                               .mSlack = {},
                               .mAdvice = std::nullopt })
    .value();
}

/// @returns whether an outcome can be the answer to an operation.
bool
CanAnswer(JobCallOutcome aOutcome, JobCallKind aKind)
{
  switch (aOutcome) {
    case JobCallOutcome::Accepted:
    case JobCallOutcome::Malformed:
      return aKind == JobCallKind::Submit;
    case JobCallOutcome::Shown:
      return aKind == JobCallKind::Show;
    case JobCallOutcome::Cancelled:
      return aKind == JobCallKind::Cancel;
    case JobCallOutcome::Counted:
      return aKind == JobCallKind::Count;
    case JobCallOutcome::UnknownJob:
      return aKind == JobCallKind::Show || aKind == JobCallKind::Cancel;
    default:
      return true;
  }
}

} // namespace

LinkSimulation::LinkSimulation(std::uint32_t aSeed)
  : mRandom(aSeed)
{
  mOwner = MakeEntryState(
    EntrySettings::Create({ .mNode = "owner", .mIncarnation = 1, .mLink = Claim().Link() })
      .value());
  const auto deliver = [this](auto aBody) { StepEntry(mOwner, EventOf(std::move(aBody)), mNow); };
  deliver(ClusterConfig::Create({ .mVersion = 1, .mQueues = { Queue() } }).value());
  deliver(GroupJoined::Create(
            { .mOutcome = StoreOutcome::Done, .mGeneration = 1, .mElected = true, .mSent = mNow })
            .value());
  deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = kEpoch - 1 }).value());
  deliver(ClaimWritten::Create({ .mOutcome = StoreOutcome::Done, .mClaim = Claim() }).value());
  deliver(CellLoaded::Create({ .mOutcome = StoreOutcome::Done, .mEpoch = kEpoch }).value());
  for (int n = 0; n < kMembers; ++n) {
    Restart(absl::StrCat("n", n));
  }
}

void
LinkSimulation::Simulate(int aSteps)
{
  for (int n = 0; n < aSteps && mViolations.empty(); ++n) {
    const auto draw = Draw(100);
    if (draw < 50) {
      Call(DrawNode());
    } else if (draw < 60) {
      Restart(DrawNode());
    } else if (draw < 65) {
      Relink(DrawNode());
    } else if (draw < 85) {
      Step();
    } else {
      Transmit();
    }
  }
}

int
LinkSimulation::Draw(int aBound)
{
  return std::uniform_int_distribution<int>(0, aBound - 1)(mRandom);
}

std::string
LinkSimulation::DrawNode()
{
  return absl::StrCat("n", Draw(kMembers));
}

void
LinkSimulation::Restart(const std::string& aNode)
{
  mMembers[aNode].mCalls.clear();
  mMembers[aNode].mLastCall = 0;
  Relink(aNode);
}

void
LinkSimulation::Relink(const std::string& aNode)
{
  auto& process = mMembers[aNode];
  const auto before = std::exchange(process.mLink, ++mLastLink);
  if (before > 0) {
    mEvents.push_back(
      EventOf(MemberChanged::Create({ .mNode = aNode, .mUp = false, .mLink = before }).value()));
  }
  mEvents.push_back(EventOf(
    MemberChanged::Create({ .mNode = aNode, .mUp = true, .mLink = process.mLink }).value()));
}

void
LinkSimulation::Call(const std::string& aNode)
{
  auto& process = mMembers[aNode];
  constexpr JobCallKind kKinds[] = { JobCallKind::Submit,
                                     JobCallKind::Submit,
                                     JobCallKind::Show,
                                     JobCallKind::Cancel,
                                     JobCallKind::Count };
  const auto kind = kKinds[Draw(std::size(kKinds))];
  const bool isNew = kind == JobCallKind::Submit && Draw(2) == 0;
  const auto job = isNew ? ++mLastJob : Draw(static_cast<int>(mLastJob) + 1);
  CellRequest::Fields fields{ .mCall = ++process.mLastCall,
                              .mKind = kind,
                              .mQueue = Queue(),
                              .mJob = absl::StrFormat("%016x", job),
                              .mDefinition = std::nullopt };
  if (kind == JobCallKind::Submit) {
    auto step = JobStep::Create({ .mCount = 1 }).value();
    fields.mDefinition =
      JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value();
  }
  process.mCalls[fields.mCall] = kind;
  auto message =
    LinkMessage::Create({ .mBody = CellRequest::Create(std::move(fields)).value() }).value();
  mEvents.push_back(EventOf(
    FromMember::Create(
      { .mNode = aNode, .mMessage = std::move(message), .mReceived = mNow, .mLink = process.mLink })
      .value()));
}

void
LinkSimulation::Step()
{
  mNow = mNow + Time::FromMilliseconds(Draw(20));
  const auto n = std::min<std::size_t>(mEvents.size(), 1 + Draw(kMostEventsAStep));
  std::vector<EntryEvent> batch(mEvents.begin(), mEvents.begin() + static_cast<std::ptrdiff_t>(n));
  mEvents.erase(mEvents.begin(), mEvents.begin() + static_cast<std::ptrdiff_t>(n));
  if (Draw(3) == 0) {
    batch.push_back(EventOf(ClockTick::Create({ .mNumber = 1 }).value()));
  }
  for (auto& effect : StepEntry(mOwner, batch, mNow)) {
    mEffects.push_back(std::move(effect));
  }
}

void
LinkSimulation::Transmit()
{
  for (auto n = Draw(kMostEffects); n >= 0 && !mEffects.empty(); --n) {
    const auto effect = std::move(mEffects.front());
    mEffects.pop_front();
    if (const auto* append = std::get_if<AppendToCell>(&effect.Body())) {
      mEvents.push_back(EventOf(CellAppended::Create({ .mEpoch = append->Epoch(),
                                                       .mSequence = append->Sequence(),
                                                       .mOutcome = StoreOutcome::Done })
                                  .value()));
    } else if (const auto* sent = std::get_if<SendToMember>(&effect.Body())) {
      const auto* reply = std::get_if<JobReply>(&sent->Message().Body());
      // As LinkServer::Send() does.
      if (reply != nullptr && mMembers.at(sent->Node()).mLink == sent->Link()) {
        Receive(sent->Node(), *reply);
      }
    }
  }
}

void
LinkSimulation::Receive(const std::string& aNode, const JobReply& aReply)
{
  auto& calls = mMembers.at(aNode).mCalls;
  const auto call = calls.find(aReply.Call());
  if (call == calls.end()) {
    // Answered before over an earlier link of the same process.
    if (aReply.Call() > mMembers.at(aNode).mLastCall) {
      mViolations.push_back(absl::StrCat(aNode, " got an answer to a call that it never made"));
    }
    return;
  }
  ++mAnswers;
  if (!CanAnswer(aReply.Outcome(), call->second)) {
    mViolations.push_back(absl::StrCat(aNode,
                                       " got ",
                                       std::string(ToString(aReply.Outcome())),
                                       " for ",
                                       std::string(ToString(call->second))));
  }
  calls.erase(call);
}

} // namespace by
