#include "by_scheduling/OfferGang.h"

#include "absl/strings/str_cat.h"

#include "by_placement/CanEverFit.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/ReserveGang.h"
#include "by_scheduling/detail/GangRoom.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

ScheduleOutcome
RefuseAll(const std::vector<WorkItem>& aTasks, Reason aReason, const std::string& aDetail)
{
  ScheduleOutcome outcome;
  for (const auto& item : aTasks) {
    outcome.mRefused.push_back(
      RefusedWork::Create({ .mTask = item.Task(), .mReason = aReason, .mDetail = aDetail })
        .value());
  }
  return outcome;
}

bool
AnyIsKnown(const Scheduler& aScheduler, const std::vector<WorkItem>& aTasks)
{
  for (const auto& item : aTasks) {
    if (aScheduler.mRunning.contains(item.Task()) || aScheduler.mGangOf.contains(item.Task()) ||
        aScheduler.mQueue.mRows.contains(item.Task())) {
      return true;
    }
  }
  return aTasks.empty();
}

/// @returns why the gang could not run on empty VMs; empty where it could. That each task fits
/// and all together fit in total is needed, though not always enough.
std::string
WhyGangNeverFits(const Scheduler& aScheduler, const std::vector<WorkItem>& aTasks)
{
  Resources sum;
  for (const auto& item : aTasks) {
    const auto fit = CanEverFit(aScheduler.mVms, item.Rack(), item.Resources());
    if (!fit.mFits) {
      return Describe(fit);
    }
    sum = Plus(sum, TakenBy(item.Resources()));
  }
  const auto wanted = AmountsOf(sum);
  const auto total = AmountsOf(aScheduler.mVms.mTotal);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (wanted[i] > total[i]) {
      return absl::StrCat(
        "needs ", wanted[i], " ", kResourceNames[i], " together, all VMs offer ", total[i]);
    }
  }
  return {};
}

} // namespace

ScheduleOutcome
OfferGang(Scheduler& aScheduler,
          const SchedulingPolicy& aPolicy,
          const std::vector<WorkItem>& aTasks,
          Time aNow)
{
  if (AnyIsKnown(aScheduler, aTasks)) {
    return RefuseAll(aTasks, Reason::Invalid, "a task is already queued or running");
  }
  const auto never = WhyGangNeverFits(aScheduler, aTasks);
  if (!never.empty() && !aScheduler.mVms.mRows.empty()) {
    return RefuseAll(aTasks, Reason::NeverFits, never);
  }
  const auto waiting = aScheduler.mQueue.mRows.size() + aScheduler.mGangOf.size();
  if (aScheduler.mGangs.empty()) {
    if (auto placed = ReserveGang(aScheduler, aPolicy, aTasks, aNow)) {
      ScheduleOutcome outcome;
      outcome.mPlaced = std::move(*placed);
      return outcome;
    }
  }
  if (waiting + aTasks.size() > static_cast<std::size_t>(aPolicy.mQueueLimit)) {
    return RefuseAll(aTasks, Reason::QueueFull, absl::StrCat(waiting, " tasks wait"));
  }
  if (StartByOf(aTasks.front()) <= aNow) {
    return RefuseAll(aTasks, Reason::MaxWaitExceeded, "its patience has ended");
  }
  QueueGang(aScheduler, aTasks);
  return {};
}

} // namespace by
