#include "by_cell/HandleAdvice.h"

#include <cstddef>
#include <optional>
#include <string>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Tables.h"

namespace by {

namespace {

/// @returns when the process of a worker started that a query was about; zero where it is not
/// known.
Time
ProcessStartOf(const std::optional<AdviceQuery>& aQuery, const std::string& aWorker)
{
  if (!aQuery) {
    return {};
  }
  const auto it = absl::c_find(aQuery->mWorkers, aWorker);
  return it == aQuery->mWorkers.end() ? Time()
                                      : aQuery->mProcessStarts[it - aQuery->mWorkers.begin()];
}

} // namespace

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
  const auto query = detail::CloseAdviceQuery(aState, advice, aEvent.Workers());
  const bool isInTime = query && aNow <= query->mDeadline;
  aState.mPlacementNeeded = true;
  detail::Log(aOut,
              "advice.answered",
              absl::StrCat(aEvent.Job(), ".", aEvent.Occurrence(), ".", aEvent.Step()),
              absl::StrCat("answered=",
                           aEvent.Answered(),
                           " asked=",
                           aEvent.Workers().size(),
                           " allowed=",
                           aEvent.Tickets().size(),
                           " in_time=",
                           isInTime));
  if (!aEvent.Answered() || !policy) {
    return;
  }
  std::size_t queried = 0;
  for (const auto& worker : aEvent.Workers()) {
    queried += advice.mTickets.contains(worker) ? 0 : 1;
    advice.mDeniedWorkers.insert(worker);
  }
  std::size_t allowed = 0;
  std::size_t unexpected = 0;
  for (const auto& ticket : aEvent.Tickets()) {
    const auto& worker = ticket.Worker();
    if (!absl::c_linear_search(aEvent.Workers(), worker)) {
      ++unexpected;
      continue;
    }
    advice.mDeniedWorkers.erase(worker);
    // The tickets of an answer that was read late may have expired.
    const WorkerTicket usable{ ticket.Text(),
                               isInTime ? aNow + policy->Validity() : aNow,
                               ProcessStartOf(query, worker) };
    allowed += advice.mTickets.insert_or_assign(worker, usable).second ? 1 : 0;
  }
  for (const auto& worker : aEvent.Workers()) {
    if (advice.mDeniedWorkers.contains(worker)) {
      advice.mTickets.erase(worker);
    }
  }
  detail::UpdateAllowedShare(aState, *job, queried, allowed);
  if (unexpected > 0) {
    detail::Log(aOut,
                "advice.unexpected",
                absl::StrCat(aEvent.Job(), ".", aEvent.Occurrence(), ".", aEvent.Step()),
                absl::StrCat("tickets=", unexpected, " reason=not asked for"));
  }
  advice.mNextQuery = aNow;
}

} // namespace by
