#include "by_entry/detail/Relays.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleOrders.h"
#include "by_cell/HandlePolls.h"
#include "by_cell/OrderNumber.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Links.h"
#include "by_entry/detail/RelayChoice.h"

namespace by::detail {

namespace {

/// Time for the hops to a relay and back, beyond the time that the relay gives the worker.
constexpr Time kRelayMargin = Time::FromMilliseconds(700);
/// An order counts as unanswered this long after its deadline even if nothing was heard from its
/// relay since.
constexpr Time kSilentRelayMargin = Time::FromMilliseconds(2500);
/// Interval between checks for relays that are silent or late.
constexpr Time kCheckInterval = Time::FromMilliseconds(100);
/// How long an order waits for others to the same relay.
constexpr Time kSendDelay = Time::FromMilliseconds(5);
/// How long a relay that left an order unanswered gets no orders.
constexpr Time kSuspension = Time::FromMilliseconds(2000);
/// A new owner sends no orders for this long after its claim, so that members can link first.
constexpr Time kLinkDelay = Time::FromMilliseconds(200);

/// An answer may lie in the queue of an owner that is behind. It does not if a message that the
/// relay sent after the deadline has been read.
bool
IsUnanswered(const EntryState& aState, const OpenOrder& aOrder, Time aNow)
{
  if (aNow < aOrder.mDeadline) {
    return false;
  }
  const auto relay = aState.mMembers.find(aOrder.mRelay);
  return relay == aState.mMembers.end() || relay->second.mHeardAt > aOrder.mDeadline ||
         aNow >= aOrder.mDeadline + kSilentRelayMargin;
}

/// Describes what remains to be done if an order is not answered.
struct WithoutAnswer
{
  std::variant<PollWorker, StartAnswered, StopAnswered> operator()(const StartRun& aOrder) const
  {
    return StartAnswered::Create({ .mWorker = aOrder.Worker(),
                                   .mTask = aOrder.Task(),
                                   .mRun = aOrder.Run(),
                                   .mOutcome = OrderOutcome::Unanswered })
      .value();
  }
  std::variant<PollWorker, StartAnswered, StopAnswered> operator()(const StopRun& aOrder) const
  {
    return StopAnswered::Create({ .mWorker = aOrder.Worker(),
                                  .mTask = aOrder.Task(),
                                  .mRun = aOrder.Run(),
                                  .mOutcome = OrderOutcome::Unanswered })
      .value();
  }
  std::variant<PollWorker, StartAnswered, StopAnswered> operator()(const PollWorker& aOrder) const
  {
    return aOrder;
  }
};

Time
WaitOf(const WorkerOrder& aOrder)
{
  const auto* poll = std::get_if<PollWorker>(&aOrder.Body());
  return poll == nullptr ? Time() : poll->Wait();
}

/// Puts an order into the outbox of its worker's relay.
/// @returns whether it did; otherwise this node sends the order itself.
template<class Order>
bool
Enqueue(EntryState& aState, const Order& aOrder, Time aNow)
{
  const auto& relay = RelayOf(aState, aOrder.Worker());
  if (relay.empty()) {
    return false;
  }
  auto& relays = aState.mRelays;
  const auto number = OrderNumber(aState.mEpoch, ++relays.mLastNumber);
  auto order = WorkerOrder::Create({ .mBody = aOrder.WithNumber(number) }).value();
  const auto deadline =
    aNow + WaitOf(order) + aState.mSettings.Cell().OrderTimeout() + kRelayMargin;
  relays.mOpen.emplace(number, OpenOrder{ relay, deadline, WithoutAnswer()(aOrder) });
  relays.mOutbox[relay].push_back(std::move(order));
  relays.mSendAt = std::min(relays.mSendAt, aNow + kSendDelay);
  return true;
}

void
SendOutbox(EntryState& aState, Time aNow, Effects& aOut)
{
  auto& relays = aState.mRelays;
  if (aNow < relays.mSendAt) {
    return;
  }
  relays.mSendAt = Time::Never();
  for (auto& [relay, orders] : std::exchange(relays.mOutbox, {})) {
    auto message = LinkMessage::Create(
                     { .mBody = RelayOrders::Create({ .mOrders = std::move(orders) }).value() })
                     .value();
    EmitToMember(aState, relay, std::move(message), aOut);
  }
}

void
ReportUnanswered(EntryState& aState, const OpenOrder& aOrder, Time aNow, Effects& aOut)
{
  if (const auto* start = std::get_if<StartAnswered>(&aOrder.mWithoutAnswer)) {
    HandleStartAnswered(*aState.mCell, *start, aNow, aOut);
  } else if (const auto* stop = std::get_if<StopAnswered>(&aOrder.mWithoutAnswer)) {
    HandleStopAnswered(*aState.mCell, *stop, aNow, aOut);
  }
}

/// Settles all orders at a relay. Its polls become effects of the owner again, which
/// RelayWorkerOrders() sends through other relays at the end of the step.
void
SettleOrdersOf(EntryState& aState, const std::string& aRelay, Time aNow, Effects& aOut)
{
  std::vector<OpenOrder> settled;
  std::erase_if(aState.mRelays.mOpen, [&](const auto& aEntry) {
    if (aEntry.second.mRelay != aRelay) {
      return false;
    }
    settled.push_back(aEntry.second);
    return true;
  });
  aState.mRelays.mOutbox.erase(aRelay);
  std::erase_if(aState.mRelays.mRelayOfWorker,
                [&](const auto& aEntry) { return aEntry.second == aRelay; });
  for (const auto& order : settled) {
    if (const auto* poll = std::get_if<PollWorker>(&order.mWithoutAnswer)) {
      Emit(aOut, *poll);
    } else {
      ReportUnanswered(aState, order, aNow, aOut);
    }
  }
}

void
Suspend(EntryState& aState, const std::string& aRelay, Time aNow, Effects& aOut)
{
  Log(
    aOut,
    "relay.suspended",
    aRelay,
    absl::StrCat("open_orders=",
                 std::count_if(aState.mRelays.mOpen.begin(),
                               aState.mRelays.mOpen.end(),
                               [&](const auto& aEntry) { return aEntry.second.mRelay == aRelay; }),
                 " for_ms=",
                 kSuspension.Milliseconds()));
  aState.mRelays.mSuspended[aRelay] = aNow + kSuspension;
  SettleOrdersOf(aState, aRelay, aNow, aOut);
}

/// Passes an answer to the cell.
struct AnswerHandler
{
  EntryState& mState;
  const std::string& mRelay;
  Time mNow;
  Effects& mOut;

  void operator()(const StartAnswered& aAnswer) const
  {
    NoteReachability(mState, aAnswer.Worker(), mRelay, aAnswer.Outcome());
    HandleStartAnswered(*mState.mCell, aAnswer, mNow, mOut);
  }
  void operator()(const StopAnswered& aAnswer) const
  {
    NoteReachability(mState, aAnswer.Worker(), mRelay, aAnswer.Outcome());
    HandleStopAnswered(*mState.mCell, aAnswer, mNow, mOut);
  }
  void operator()(const WorkerPolled& aAnswer) const
  {
    NoteReachability(mState, aAnswer.Worker(), mRelay, aAnswer.Outcome());
    HandlePolled(*mState.mCell, aAnswer, mNow, mOut);
  }
};

bool
IsWorkerOrder(const EntryEffect& aEffect)
{
  const auto& body = aEffect.Body();
  return std::holds_alternative<StartRun>(body) || std::holds_alternative<StopRun>(body) ||
         std::holds_alternative<PollWorker>(body);
}

void
HoldOrders(Effects& aHeld, Effects& aOut)
{
  const auto orders = std::stable_partition(
    aOut.begin(), aOut.end(), [](const auto& aEffect) { return !IsWorkerOrder(aEffect); });
  std::move(orders, aOut.end(), std::back_inserter(aHeld));
  aOut.erase(orders, aOut.end());
}

std::uint64_t
NumberOf(const WorkerAnswer& aAnswer)
{
  return std::visit([](const auto& aBody) { return aBody.Number(); }, aAnswer.Body());
}

} // namespace

void
RelayWorkerOrders(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Owner) {
    return;
  }
  if (aState.mCell->mWorkers.size() <= aState.mSettings.Cell().DirectWorkerLimit()) {
    SendOutbox(aState, aNow, aOut);
    return;
  }
  auto& held = aState.mRelays.mHeld;
  if (aNow < aState.mClaimedAt + kLinkDelay) {
    HoldOrders(held, aOut);
    return;
  }
  std::move(held.begin(), held.end(), std::back_inserter(aOut));
  held.clear();
  std::erase_if(aOut, [&](const EntryEffect& aEffect) {
    const auto& body = aEffect.Body();
    if (const auto* start = std::get_if<StartRun>(&body)) {
      return Enqueue(aState, *start, aNow);
    }
    if (const auto* stop = std::get_if<StopRun>(&body)) {
      return Enqueue(aState, *stop, aNow);
    }
    if (const auto* poll = std::get_if<PollWorker>(&body)) {
      return Enqueue(aState, *poll, aNow);
    }
    return false;
  });
  SendOutbox(aState, aNow, aOut);
}

void
HandleRelayAnswers(EntryState& aState,
                   const std::string& aRelay,
                   const RelayAnswers& aAnswers,
                   Time aNow,
                   Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Owner) {
    return;
  }
  for (const auto& answer : aAnswers.Answers()) {
    const auto open = aState.mRelays.mOpen.find(NumberOf(answer));
    if (open == aState.mRelays.mOpen.end() || open->second.mRelay != aRelay) {
      continue;
    }
    aState.mRelays.mOpen.erase(open);
    if (aState.mCell->mFenced) {
      return;
    }
    std::visit(AnswerHandler{ aState, aRelay, aNow, aOut }, answer.Body());
  }
}

void
HandleRelayLost(EntryState& aState, const std::string& aRelay, Time aNow, Effects& aOut)
{
  if (aState.mPhase == OwnerPhase::Owner) {
    SettleOrdersOf(aState, aRelay, aNow, aOut);
  }
}

void
ExpireRelayedOrders(EntryState& aState, Time aNow, Effects& aOut)
{
  auto& relays = aState.mRelays;
  if (aState.mPhase != OwnerPhase::Owner || aNow < relays.mNextCheck) {
    return;
  }
  relays.mNextCheck = aNow + kCheckInterval;
  if (std::erase_if(relays.mSuspended, [&](const auto& aEntry) { return aEntry.second <= aNow; }) >
      0) {
    relays.mRelayOfWorker.clear();
  }
  std::set<std::string> late;
  for (const auto& [number, order] : relays.mOpen) {
    if (IsUnanswered(aState, order, aNow)) {
      late.insert(order.mRelay);
    }
  }
  for (const auto& [node, member] : aState.mMembers) {
    if (!relays.mSuspended.contains(node) && IsSilent(aState, member)) {
      late.insert(node);
    }
  }
  for (const auto& relay : late) {
    Suspend(aState, relay, aNow, aOut);
  }
}

} // namespace by::detail
