#include "by_node/detail/HandleOperators.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "by_node/detail/AppendToLog.h"
#include "by_node/detail/Dump.h"
#include "by_node/detail/HandleDrain.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/OperatorCall.h"
#include "by_schema/ReplyOperator.h"

namespace by::detail {

namespace {

constexpr Time kOperatorCallTimeout = Time::FromMilliseconds(5000);

using ReplyBody = decltype(OperatorReply::Fields::mBody);

void
Reply(StepWork& aWork,
      std::uint64_t aCall,
      ReplyCode aCode,
      std::string aDetail,
      ReplyBody aBody = Done())
{
  auto reply =
    OperatorReply::Create(
      { .mCall = aCall, .mCode = aCode, .mDetail = std::move(aDetail), .mBody = std::move(aBody) })
      .value();
  Emit(aWork, ReplyOperator::Create({ .mReply = std::move(reply) }).value());
}

bool
IsVisibleTo(const OperatorCall& aCall, const TeamId& aTeam)
{
  return aCall.Team().IsEmpty() || aCall.Team() == aTeam;
}

const FoldedIntent*
VisibleIntent(StepWork& aWork, const OperatorCall& aCall, const IntentId& aIntent)
{
  const auto* intent = FindIntent(aWork.mState.mLog.mIntents, aIntent);
  if (intent == nullptr || !IsVisibleTo(aCall, intent->mPlan.Spec().Team())) {
    Reply(aWork, aCall.Call(), ReplyCode::NotFound, "there is no such intent");
    return nullptr;
  }
  return intent;
}

/// Appends the record of a call; the call is answered once the record appears in the log.
void
AppendForCall(StepWork& aWork, const OperatorCall& aCall, LogRecordBody aBody, IntentId aIntent)
{
  if (!IsLogFresh(aWork)) {
    Reply(
      aWork, aCall.Call(), ReplyCode::Unavailable, "the log can't be reached; nothing was changed");
    return;
  }
  const auto deadline = aWork.mNow + kOperatorCallTimeout;
  const auto record = QueueRecord(aWork, std::move(aBody), deadline);
  aWork.mState.mPendingCalls.push_back(PendingCall::Create({ .mCall = aCall.Call(),
                                                             .mRecord = record,
                                                             .mDeadline = deadline,
                                                             .mIntent = std::move(aIntent) })
                                         .value());
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const PlanIntent& aPlan)
{
  auto& state = aWork.mState;
  if (!IsVisibleTo(aCall, aPlan.Spec().Team())) {
    Reply(aWork, aCall.Call(), ReplyCode::Forbidden, "the intent is for another team");
    return;
  }
  const auto& expiry = state.mSettings.Requests().PlanExpiry();
  const auto plan = MakePlan(state.mLog.mIntents,
                             aPlan.Spec(),
                             IntentId(aCall.FreshId()),
                             BackendServersOf(state),
                             state.mLog.mConfig.mCurrent.Document(),
                             aWork.mNow,
                             expiry);
  if (!plan.Feasible()) {
    Reply(aWork, aCall.Call(), ReplyCode::Ok, plan.Detail(), plan);
    return;
  }
  AppendForCall(aWork, aCall, plan, plan.Intent());
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ConfirmIntent& aConfirm)
{
  const auto* intent = VisibleIntent(aWork, aCall, aConfirm.Intent());
  if (intent != nullptr) {
    auto body =
      IntentConfirm::Create({ .mIntent = aConfirm.Intent(), .mTeam = intent->mPlan.Spec().Team() })
        .value();
    AppendForCall(aWork, aCall, std::move(body), aConfirm.Intent());
  }
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const CancelIntent& aCancel)
{
  const auto* intent = VisibleIntent(aWork, aCall, aCancel.Intent());
  if (intent != nullptr) {
    auto body =
      IntentCancel::Create({ .mIntent = aCancel.Intent(), .mTeam = intent->mPlan.Spec().Team() })
        .value();
    AppendForCall(aWork, aCall, std::move(body), aCancel.Intent());
  }
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ShowIntent& aShow)
{
  if (const auto* intent = VisibleIntent(aWork, aCall, aShow.Intent())) {
    Reply(aWork, aCall.Call(), ReplyCode::Ok, "", StatusOf(*intent, true));
  }
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ListIntents& aList)
{
  const auto team = aCall.Team().IsEmpty() ? aList.Team() : aCall.Team();
  auto list =
    IntentList::Create({ .mIntents = ListIntentStatuses(aWork.mState.mLog.mIntents, team) })
      .value();
  Reply(aWork, aCall.Call(), ReplyCode::Ok, "", std::move(list));
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const PublishConfig& aPublish)
{
  const auto policy = PolicyFrom(aPublish.Change().Document());
  if (!policy.ok()) {
    Reply(aWork, aCall.Call(), ReplyCode::Invalid, std::string(policy.status().message()));
    return;
  }
  AppendForCall(aWork, aCall, aPublish.Change(), IntentId());
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ShowConfig& aShow)
{
  Reply(aWork,
        aCall.Call(),
        ReplyCode::Ok,
        "",
        ConfigStatusOf(aWork.mState, aWork.mNow, aShow.Document()));
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ShowNodes& aShow)
{
  auto list =
    NodeList::Create({ .mNodes = NodeStatuses(aWork.mState, aWork.mNow, aShow.All()) }).value();
  Reply(aWork, aCall.Call(), ReplyCode::Ok, "", std::move(list));
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const ShowState& aShow)
{
  Reply(aWork, aCall.Call(), ReplyCode::Ok, "", DumpOf(aWork.mState, aWork.mNow, aShow.Brief()));
}

void
Handle(StepWork& aWork, const OperatorCall& aCall, const DrainNode&)
{
  StartDrain(aWork);
  Reply(aWork,
        aCall.Call(),
        ReplyCode::Ok,
        "",
        Done::Create({ .mDetail = "the node is stopping" }).value());
}

bool
IsForOperatorsOnly(const OperatorCall& aCall)
{
  const auto& body = aCall.Body();
  return std::holds_alternative<PublishConfig>(body) || std::holds_alternative<ShowConfig>(body) ||
         std::holds_alternative<ShowNodes>(body) || std::holds_alternative<ShowState>(body) ||
         std::holds_alternative<DrainNode>(body);
}

/// Removes a pending call.
/// @returns the call, or one without a record if none matches.
PendingCall
TakeCall(NodeState& aState, const RecordId& aRecord)
{
  const auto it = std::find_if(aState.mPendingCalls.begin(),
                               aState.mPendingCalls.end(),
                               [&](const auto& aCall) { return aCall.Record() == aRecord; });
  if (it == aState.mPendingCalls.end()) {
    return PendingCall();
  }
  auto call = std::move(*it);
  aState.mPendingCalls.erase(it);
  return call;
}

} // namespace

void
ObserveOperatorCall(StepWork& aWork, const OperatorCall& aCall)
{
  if (!aCall.Team().IsEmpty() && IsForOperatorsOnly(aCall)) {
    Reply(aWork, aCall.Call(), ReplyCode::Forbidden, "only the provider's operators may do this");
    return;
  }
  std::visit([&](const auto& aBody) { Handle(aWork, aCall, aBody); }, aCall.Body());
}

void
AnswerCallForRecord(StepWork& aWork, const RecordId& aRecord, const ApplyResult& aResult)
{
  const auto call = TakeCall(aWork.mState, aRecord);
  if (call.Record().IsEmpty()) {
    return;
  }
  if (!aResult.mAccepted) {
    Reply(aWork,
          call.Call(),
          ReplyCode::Conflict,
          "another change came first: " + std::string(aResult.mStatus.message()));
    return;
  }
  if (call.Intent().IsEmpty()) {
    Reply(aWork, call.Call(), ReplyCode::Ok, "", ConfigStatusOf(aWork.mState, aWork.mNow, false));
    return;
  }
  const auto* intent = FindIntent(aWork.mState.mLog.mIntents, call.Intent());
  if (intent == nullptr) {
    Reply(aWork, call.Call(), ReplyCode::Ok, "the intent has ended");
  } else if (!intent->mProgress.Confirmed()) {
    Reply(aWork, call.Call(), ReplyCode::Ok, "", intent->mPlan);
  } else {
    Reply(aWork, call.Call(), ReplyCode::Ok, "", StatusOf(*intent, true));
  }
}

void
RefuseCallForRecord(StepWork& aWork, const RecordId& aRecord)
{
  const auto call = TakeCall(aWork.mState, aRecord);
  if (!call.Record().IsEmpty()) {
    Reply(
      aWork, call.Call(), ReplyCode::Unavailable, "the log can't be reached; nothing was changed");
  }
}

void
ExpireCalls(StepWork& aWork)
{
  auto& calls = aWork.mState.mPendingCalls;
  for (const auto& call : calls) {
    if (call.Deadline() < aWork.mNow) {
      Reply(aWork,
            call.Call(),
            ReplyCode::Unknown,
            "the log did not say in time whether the change was taken");
    }
  }
  std::erase_if(calls, [&](const auto& aCall) { return aCall.Deadline() < aWork.mNow; });
}

} // namespace by::detail
