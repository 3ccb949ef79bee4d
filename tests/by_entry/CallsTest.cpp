#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kJobPath = "/q/0123456789abcdef";
constexpr Time kTimeout = Time::FromMilliseconds(2000);

CellRequest
RequestOf(const EntryFixture& aNode, JobCallKind aKind, const std::string& aJob = kJob)
{
  CellRequest::Fields fields{ .mCall = 7,
                              .mKind = aKind,
                              .mQueue = aNode.mState.mConfig->Queues().front(),
                              .mJob = aJob,
                              .mTimeout = kTimeout };
  if (aKind == JobCallKind::Submit) {
    auto step = JobStep::Create({ .mCount = 1 }).value();
    fields.mDefinition =
      JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value();
  }
  return CellRequest::Create(std::move(fields)).value();
}

/// An owner with the linked member n2.
struct Owner : EntryFixture
{
  Owner()
  {
    Configure();
    BecomeOwner(3);
    Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  }

  void Forward(const CellRequest& aRequest, Time aReceived)
  {
    Deliver(FromMember::Create({ .mNode = "n2",
                                 .mMessage = LinkMessage::Create({ .mBody = aRequest }).value(),
                                 .mReceived = aReceived })
              .value());
  }
};

/// A member of the owner n2 with the epoch 3.
struct Member : EntryFixture
{
  Member()
  {
    Configure();
    Join(false);
    SetRemoteOwner(3);
  }

  /// @returns the requests that were forwarded to the owner since the last call.
  std::vector<CellRequest> TakeRequests()
  {
    std::vector<CellRequest> requests;
    for (const auto& sent : Take<SendToOwner>()) {
      if (const auto* request = std::get_if<CellRequest>(&sent.Message().Body())) {
        requests.push_back(*request);
      }
    }
    return requests;
  }
};

} // namespace

/// An owner that was behind spent most of its time on requests whose callers had left and repeated
/// them, so that it never caught up.
TEST_GROUP(Calls){};

TEST(Calls, ForwardedRequestSaysHowLongItsCallerStillWaits)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  const auto first = member.TakeRequests();
  CHECK_EQUAL(1, first.size());
  CHECK(first.front().Timeout() == member.mState.mSettings.AnswerWait());
  member.Advance(Time::FromMilliseconds(300));
  member.SetRemoteOwner(4, "n3");
  const auto second = member.TakeRequests();
  CHECK_EQUAL(1, second.size());
  CHECK(second.front().Timeout() ==
        member.mState.mSettings.AnswerWait() - Time::FromMilliseconds(300));
}

TEST(Calls, DeadlineOfTheCallerLimitsTheWait)
{
  Member member;
  member.Deliver(JobCall::Create({ .mCall = 1,
                                   .mKind = JobCallKind::Show,
                                   .mHost = "h",
                                   .mPath = kJobPath,
                                   .mTimeout = Time::FromMilliseconds(250) })
                   .value());
  CHECK(member.TakeRequests().front().Timeout() == Time::FromMilliseconds(250));
}

TEST(Calls, OwnerDropsARequestWhoseCallerHasLeft)
{
  Owner owner;
  owner.Take<SendToMember>();
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow - kTimeout);
  owner.Forward(RequestOf(owner, JobCallKind::Show), owner.mNow - kTimeout);
  CHECK(owner.mState.mCell->mJobs.empty());
  CHECK(owner.Take<SendToMember>().empty());
  CHECK(owner.Take<AppendToCell>().empty());
}

TEST(Calls, OwnerServesARequestWhoseCallerStillWaits)
{
  Owner owner;
  owner.Forward(RequestOf(owner, JobCallKind::Submit),
                owner.mNow - kTimeout + Time::FromMilliseconds(1));
  CHECK_EQUAL(1, owner.mState.mCell->mJobs.size());
}

TEST(Calls, DroppedRequestsAreReportedOnceASecond)
{
  Owner owner;
  owner.Take<LogLine>();
  for (int i = 0; i < 100; ++i) {
    owner.Forward(RequestOf(owner, JobCallKind::Show), owner.mNow - kTimeout);
    owner.Advance(Time::FromMilliseconds(10));
  }
  const auto lines = owner.Take<LogLine>();
  CHECK_EQUAL(1, std::count_if(lines.begin(), lines.end(), [](const LogLine& aLine) {
                return aLine.Event() == "call.dropped";
              }));
}
