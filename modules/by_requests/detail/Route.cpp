#include "by_requests/detail/Route.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "by_membership/by_membership.h"
#include "by_ownership/by_ownership.h"
#include "by_placement/ResourceMath.h"
#include "by_requests/ObserveTasks.h"
#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_requests/detail/Rows.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/ForwardedRequest.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/WorkItem.h"

namespace by::detail {

namespace {

/// The cost of one retry, in the unit of RequestBook::mRetryCredit.
constexpr std::int64_t kRetryCost = 100;
constexpr Time kPeerCheckInterval = Time::FromMilliseconds(1000);

bool
WasTried(const RequestRow& aRow, const NodeId& aNode)
{
  return std::find(aRow.Tried().begin(), aRow.Tried().end(), aNode) != aRow.Tried().end();
}

std::vector<Member>
Candidates(const RequestContext& aContext, const RequestRow& aRow, Time aNow)
{
  auto members = LiveMembers(*aContext.mMembership, aContext.mSettings->Cluster(), aNow);
  std::erase_if(members, [&aRow](const Member& aMember) {
    return !aMember.Ready() || aMember.Summary().Racks() == 0 || WasTried(aRow, aMember.Node());
  });
  return members;
}

bool
HasCapacity(const Member& aMember, const Resources& aDemand)
{
  return Fits(aDemand, aMember.Summary().Largest());
}

/// Draws two members by a hash of the request id.
/// @returns the one with more free slots; nullptr if there are no members.
const Member*
BetterOfTwo(const std::vector<const Member*>& aMembers, const RequestId& aRequest)
{
  if (aMembers.empty()) {
    return nullptr;
  }
  const auto hash = RendezvousWeight(NodeId(), aRequest.Text());
  const auto n = aMembers.size();
  const auto* first = aMembers[hash % n];
  const auto* second = aMembers[(hash / n) % n];
  return second->Summary().Free().Slots() > first->Summary().Free().Slots() ? second : first;
}

const Member*
PickWithCapacity(const std::vector<Member>& aMembers, const RequestRow& aRow)
{
  const auto demand = EffectiveDemandOf(aRow.Request().Resources());
  std::vector<const Member*> suitable;
  for (const auto& member : aMembers) {
    if (HasCapacity(member, demand)) {
      suitable.push_back(&member);
    }
  }
  return BetterOfTwo(suitable, aRow.Request().Id());
}

const Member*
LeastLoaded(const std::vector<Member>& aMembers)
{
  const auto it =
    std::min_element(aMembers.begin(), aMembers.end(), [](const Member& aOne, const Member& aTwo) {
      return aOne.Summary().Queued() * aTwo.Summary().Racks() <
             aTwo.Summary().Queued() * aOne.Summary().Racks();
    });
  return it == aMembers.end() ? nullptr : &*it;
}

void
Forward(RequestBook& aBook,
        const RequestContext& aContext,
        const RequestRow& aRow,
        const Member& aPeer,
        Time aNow,
        RequestActions& aActions)
{
  auto fields = aRow.ToFields();
  fields.mPhase = RequestPhase::Forwarded;
  fields.mPeer = aPeer.Node();
  fields.mPeerIncarnation = aPeer.Incarnation();
  fields.mCheckAt = aNow + kPeerCheckInterval;
  const auto row = RequestRow::Create(std::move(fields)).value();
  PutRow(aBook, row);
  AddFrame(aContext,
           aPeer.Node(),
           ForwardedRequest::Create({ .mFrom = aContext.mSelf,
                                      .mIncarnation = aContext.mIncarnation,
                                      .mAttempt = row.Attempt(),
                                      .mMaxWaitLeft = row.StartBy() - aNow,
                                      .mRequest = row.Request() })
             .value(),
           aActions);
}

bool
OwnsVms(const RequestContext& aContext)
{
  return !aContext.mDraining && !aContext.mScheduler->mVms.mRows.empty();
}

void
QueueLocally(RequestBook& aBook,
             const RequestContext& aContext,
             const RequestRow& aRow,
             Time aNow,
             RequestActions& aActions)
{
  auto fields = aRow.ToFields();
  fields.mPhase = RequestPhase::Queued;
  fields.mPeer = NodeId();
  fields.mCheckAt = aRow.StartBy() + kPeerCheckInterval;
  const auto row = RequestRow::Create(std::move(fields)).value();
  PutRow(aBook, row);
  aActions.mOutcomes.push_back(
    SubmitWork(*aContext.mScheduler, *aContext.mPolicy, WorkItemOf(row), aNow));
}

} // namespace

WorkItem
WorkItemOf(const RequestRow& aRow)
{
  const auto& request = aRow.Request();
  return WorkItem::Create({ .mTask = TaskId(request.Id().Text()),
                            .mTeam = request.Team(),
                            .mKind = request.Kind(),
                            .mWorkClass = WorkClass::Request,
                            .mPriority = request.Priority(),
                            .mResources = request.Resources(),
                            .mArrived = aRow.Arrived(),
                            .mStartBy = aRow.StartBy(),
                            .mDeclaredLength = request.DeclaredLength() })
    .value();
}

void
Route(RequestBook& aBook,
      const RequestContext& aContext,
      const RequestRow& aRow,
      Time aNow,
      RequestActions& aActions)
{
  if (OwnsVms(aContext)) {
    const auto placed = TryPlace(*aContext.mScheduler, *aContext.mPolicy, WorkItemOf(aRow), aNow);
    if (placed.has_value()) {
      PutRow(aBook, aRow.WithPhase(RequestPhase::Queued).WithCheckAt(aRow.StartBy()));
      ObservePlacedRequest(aBook, aContext, *placed, aNow, aActions);
      return;
    }
  }
  // A request that another node forwarded is not forwarded again.
  if (!aRow.Origin().IsEmpty()) {
    QueueLocally(aBook, aContext, aRow, aNow, aActions);
    return;
  }
  const auto members = Candidates(aContext, aRow, aNow);
  const auto* peer = PickWithCapacity(members, aRow);
  if (peer == nullptr && !OwnsVms(aContext)) {
    peer = LeastLoaded(members);
  }
  if (peer != nullptr) {
    Forward(aBook, aContext, aRow, *peer, aNow, aActions);
    return;
  }
  QueueLocally(aBook, aContext, aRow, aNow, aActions);
}

void
Reroute(RequestBook& aBook,
        const RequestContext& aContext,
        const RequestRow& aRow,
        Time aNow,
        RequestActions& aActions)
{
  auto fields = aRow.ToFields();
  if (!aRow.Peer().IsEmpty() && !WasTried(aRow, aRow.Peer())) {
    fields.mTried.push_back(aRow.Peer());
  }
  fields.mPeer = NodeId();
  fields.mVm = VmId();
  ++fields.mAttempt;
  Route(aBook, aContext, RequestRow::Create(std::move(fields)).value(), aNow, aActions);
}

bool
SpendRetry(RequestBook& aBook)
{
  if (aBook.mRetryCredit < kRetryCost) {
    return false;
  }
  aBook.mRetryCredit -= kRetryCost;
  return true;
}

} // namespace by::detail
