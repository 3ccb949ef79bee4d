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
  ForgetCallers(cell.mCell, "n2");
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
  ForgetCallers(cell.mCell, "n2");
  cell.StoreAll();
  CHECK(TakeMemberOutcomes(cell).empty());
}
