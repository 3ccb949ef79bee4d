#include "by_cell/HandleAdvice.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Tables.h"

namespace by {

void
HandleAdvice(CellState& aState, const AdviceAnswered& aEvent, Time aNow, Effects& aOut)
{
  auto* job = detail::FindJob(aState, aEvent.Job());
  auto* occurrence = detail::FindOccurrence(aState, aEvent.Job(), aEvent.Occurrence());
  if (job == nullptr || occurrence == nullptr || aEvent.Step() >= occurrence->mSteps.size()) {
    return;
  }
  auto& advice = occurrence->mSteps[aEvent.Step()].mAdvice;
  const auto& policy = detail::PolicyOf(aState, *job).Advice();
  detail::CloseAdviceQuery(aState, advice, aEvent.Workers());
  aState.mPlacementNeeded = true;
  detail::Log(aOut,
              "advice.answered",
              absl::StrCat(aEvent.Job(), ".", aEvent.Occurrence(), ".", aEvent.Step()),
              absl::StrCat("answered=",
                           aEvent.Answered(),
                           " asked=",
                           aEvent.Workers().size(),
                           " allowed=",
                           aEvent.Tickets().size()));
  if (!aEvent.Answered() || !policy) {
    return;
  }
  for (const auto& worker : aEvent.Workers()) {
    advice.mDeniedWorkers.insert(worker);
  }
  for (const auto& ticket : aEvent.Tickets()) {
    advice.mDeniedWorkers.erase(ticket.Worker());
    advice.mTickets[ticket.Worker()] = ticket.Text();
    advice.mValidUntil[ticket.Worker()] = aNow + policy->Validity();
  }
  advice.mNextQuery = aNow;
}

} // namespace by
