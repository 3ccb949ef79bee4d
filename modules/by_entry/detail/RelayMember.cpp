#include "by_entry/detail/RelayMember.h"

#include <algorithm>
#include <utility>

#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Links.h"

namespace by::detail {

namespace {

/// How long an answer waits for others, if the owner acts on it and if it does not.
constexpr Time kReturnDelay = Time::FromMilliseconds(10);
constexpr Time kIdleReturnDelay = Time::FromMilliseconds(60);

/// @returns whether the owner acts on an answer: a run has ended, or an order was not carried out.
bool
IsUrgent(const WorkerAnswer& aAnswer)
{
  const auto* polled = std::get_if<WorkerPolled>(&aAnswer.Body());
  if (polled != nullptr && !polled->Report().Ended().empty()) {
    return true;
  }
  return std::visit([](const auto& aBody) { return aBody.Outcome() != OrderOutcome::Accepted; },
                    aAnswer.Body());
}

} // namespace

void
PerformRelayOrders(const RelayOrders& aOrders, Effects& aOut)
{
  for (const auto& order : aOrders.Orders()) {
    std::visit([&](const auto& aOrder) { Emit(aOut, aOrder); }, order.Body());
  }
}

void
KeepRelayedAnswer(EntryState& aState, WorkerAnswer aAnswer, Time aNow)
{
  const auto delay = IsUrgent(aAnswer) ? kReturnDelay : kIdleReturnDelay;
  aState.mReturnAnswersAt = std::min(aState.mReturnAnswersAt, aNow + delay);
  aState.mRelayedAnswers.push_back(std::move(aAnswer));
}

void
ReturnRelayedAnswers(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aNow < aState.mReturnAnswersAt) {
    return;
  }
  aState.mReturnAnswersAt = Time::Never();
  auto answers =
    RelayAnswers::Create({ .mAnswers = std::exchange(aState.mRelayedAnswers, {}) }).value();
  if (aState.mLinkUp) {
    EmitToOwner(aState, LinkMessage::Create({ .mBody = std::move(answers) }).value(), aOut);
  }
}

} // namespace by::detail
