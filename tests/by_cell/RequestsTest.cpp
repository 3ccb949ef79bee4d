#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

#include "by_cell/CellFixture.h"

using namespace by;

namespace {

constexpr const char* kJob = "0123456789abcdef";

/// Lets a caller at the node n2 submit or cancel the job.
void
CallFromMember(CellFixture& aCell, const CellRequest& aRequest)
{
  HandleRequest(aCell.mCell, { "n2", 7 }, aRequest, aCell.mNow, aCell.mOut);
}

/// @returns the replies to callers at other nodes since the last call.
std::vector<JobCallOutcome>
TakeMemberOutcomes(CellFixture& aCell)
{
  std::vector<JobCallOutcome> outcomes;
  for (const auto& effect : aCell.mOut) {
    if (const auto* sent = std::get_if<SendToMember>(&effect.Body())) {
      if (const auto* reply = std::get_if<JobReply>(&sent->Message().Body())) {
        outcomes.push_back(reply->Outcome());
      }
    }
  }
  aCell.mOut.clear();
  return outcomes;
}

} // namespace

/// A node that restarted while the store was slow numbered its calls from 1 again and got the reply
/// to a call of its previous process: a submission that was not stored was answered as accepted.
TEST_GROUP(Requests){};

TEST(Requests, CallersOfALostNodeGetNoReplyToAJobThatIsBeingStored)
{
  CellFixture cell;
  CallFromMember(cell, cell.Submission(kJob, { CellFixture::Step(1) }));
  cell.Advance();
  ForgetCallers(cell.mCell, "n2", 0);
  cell.Store();
  CHECK(TakeMemberOutcomes(cell).empty());
}

TEST(Requests, CallersOfALostNodeGetNoReplyToACancellationThatIsBeingStored)
{
  CellFixture cell;
  cell.Submit(kJob, { CellFixture::Step(1) });
  cell.StoreAll();
  CallFromMember(cell,
                 CellRequest::Create({ .mCall = 7,
                                       .mKind = JobCallKind::Cancel,
                                       .mQueue = cell.mCell.mConfig.Queues().front(),
                                       .mJob = kJob })
                   .value());
  cell.AdvanceTime(Time::FromMilliseconds(50));
  ForgetCallers(cell.mCell, "n2", 0);
  cell.StoreAll();
  CHECK(TakeMemberOutcomes(cell).empty());
}

/// An owner that was cut off from the store answered 410 for jobs that its successor had accepted.
TEST(Requests, UnknownJobIsDeniedOnlyAfterAConfirmationThatWasRequestedLater)
{
  CellFixture cell;
  const auto replyTo = [&](JobCallKind aKind) {
    cell.Call(aKind, kJob);
    cell.Advance();
    const auto replies = cell.TakeReplies();
    return replies.empty() ? std::nullopt : std::optional(replies.front().Outcome());
  };
  for (const auto kind : { JobCallKind::Show, JobCallKind::Cancel }) {
    cell.mCell.mClaimConfirmedAt = cell.mNow - Time::FromMilliseconds(1);
    CHECK_FALSE(replyTo(kind).has_value());
    cell.mCell.mClaimConfirmedAt = cell.mNow;
    cell.AdvanceTime(Time::FromMilliseconds(10));
    const auto replies = cell.TakeReplies();
    CHECK_EQUAL(1, replies.size());
    CHECK(replies.front().Outcome() == JobCallOutcome::UnknownJob);
  }
}

/// An election does not show that no other node has claimed the cell and accepted the job.
TEST(Requests, ElectionDoesNotConfirmThatAJobIsUnknown)
{
  CellFixture cell;
  cell.Call(JobCallKind::Show, kJob);
  cell.AdvanceTime(Time::FromMilliseconds(10));
  cell.mCell.mConfirmedAt = cell.mNow;
  cell.AdvanceTime(Time::FromMilliseconds(10));
  CHECK(cell.TakeReplies().empty());
}

TEST(Requests, QueryWithoutAConfirmationIsRefused)
{
  CellFixture cell;
  cell.Call(JobCallKind::Show, kJob);
  cell.AdvanceTime(Time::FromMilliseconds(2000));
  const auto replies = cell.TakeReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies.front().Outcome() == JobCallOutcome::Refused);
}

TEST(Requests, AcceptedAppendConfirmsTheClaim)
{
  CellFixture cell;
  cell.Call(JobCallKind::Show, "nothing");
  cell.AdvanceTime(Time::FromMilliseconds(10));
  cell.Submit(kJob, { CellFixture::Step(1) });
  cell.Advance();
  const auto replies = cell.TakeReplies();
  CHECK(std::any_of(replies.begin(), replies.end(), [](const JobReply& aReply) {
    return aReply.Outcome() == JobCallOutcome::UnknownJob;
  }));
}

TEST(Requests, JobThatBecomesKnownMeanwhileIsShown)
{
  CellFixture cell;
  cell.Call(JobCallKind::Show, kJob);
  cell.SubmitUnstored(kJob, { CellFixture::Step(1) });
  cell.mCell.mClaimConfirmedAt = cell.mNow;
  cell.Advance();
  const auto replies = cell.TakeReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies.front().Outcome() == JobCallOutcome::Shown);
}

TEST(Requests, CallersOfALostNodeGetNoReplyToAQueryThatWaits)
{
  CellFixture cell;
  CallFromMember(cell,
                 CellRequest::Create({ .mCall = 7,
                                       .mKind = JobCallKind::Show,
                                       .mQueue = cell.mCell.mConfig.Queues().front(),
                                       .mJob = kJob })
                   .value());
  ForgetCallers(cell.mCell, "n2", 0);
  cell.mCell.mClaimConfirmedAt = cell.mNow;
  cell.AdvanceTime(Time::FromMilliseconds(10));
  CHECK(TakeMemberOutcomes(cell).empty());
}

/// The time of day of a new owner was ahead of that of the owner before, so that it forgot ended
/// jobs too early.
TEST(Requests, EndedJobIsKeptLongEnoughByAnOwnerWhoseClockIsAhead)
{
  CellFixture before;
  before.Submit(kJob, { CellFixture::Step(1) });
  before.Call(JobCallKind::Cancel, kJob);
  before.StoreAll();
  auto owner = before.Successor();
  owner.mNow = owner.mNow + before.mCell.mSettings.OutcomeRetention() + Time::FromSeconds(5);
  owner.AdvanceTime(Time::FromMilliseconds(500));
  CHECK_EQUAL(1, owner.mCell.mOutcomes.size());
  owner.AdvanceTime(Time::FromSeconds(6));
  CHECK(owner.mCell.mOutcomes.empty());
}
