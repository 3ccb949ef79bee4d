#include "by_intents/ApplyIntentEntry.h"

#include <variant>

#include "by_intents/detail/FoldAssignments.h"
#include "by_intents/detail/FoldGangs.h"
#include "by_intents/detail/FoldPlans.h"
#include "by_intents/detail/FoldReports.h"

namespace by {

namespace {

bool
FoldBody(IntentTable& aTable, const LogEntry& aEntry, const IntentFoldContext& aContext)
{
  const auto& body = aEntry.Record().Body();
  const auto at = aEntry.At();
  if (const auto* plan = std::get_if<Plan>(&body)) {
    return detail::FoldPlan(aTable, *plan, at);
  }
  if (const auto* confirm = std::get_if<IntentConfirm>(&body)) {
    return detail::FoldConfirm(aTable, *confirm, at);
  }
  if (const auto* cancel = std::get_if<IntentCancel>(&body)) {
    return detail::FoldCancel(aTable, *cancel, at);
  }
  if (const auto* assignments = std::get_if<TaskAssignments>(&body)) {
    return detail::FoldAssignments(aTable, *assignments, aContext.mConfig, at);
  }
  if (const auto* reports = std::get_if<TaskReports>(&body)) {
    return detail::FoldReports(aTable, *reports, aContext.mRackEpoch, at);
  }
  if (const auto* decision = std::get_if<GangDecision>(&body)) {
    return detail::FoldGangDecision(aTable, *decision, at);
  }
  return false;
}

} // namespace

bool
ApplyIntentEntry(IntentTable& aTable, const LogEntry& aEntry, const IntentFoldContext& aContext)
{
  const bool changed = FoldBody(aTable, aEntry, aContext);
  return detail::PruneExpired(aTable, aEntry.At()) || changed;
}

} // namespace by
