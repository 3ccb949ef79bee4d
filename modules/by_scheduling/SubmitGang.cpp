#include "by_scheduling/SubmitGang.h"

#include "absl/strings/str_cat.h"

#include "by_placement/CanEverFit.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/ReserveGang.h"
#include "by_scheduling/detail/GangReservation.h"
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
IsAnyKnown(const Scheduler& aScheduler, const std::vector<WorkItem>& aTasks)
{
  for (const auto& item : aTasks) {
    if (aScheduler.mRunning.contains(item.Task()) || aScheduler.mGangOf.contains(item.Task()) ||
        aScheduler.mQueue.mRows.contains(item.Task())) {
      return true;
    }
  }
  return aTasks.empty();
}

/// @returns why the gang could not run even on empty VMs; empty if it might. The check that each
/// task fits on a VM and that all tasks fit in total is necessary but not sufficient.
std::string
DescribeGangMisfit(const Scheduler& aScheduler, const std::vector<WorkItem>& aTasks)
{
  Resources sum;
  for (const auto& item : aTasks) {
    const auto fit = CanEverFit(aScheduler.mVms, item.Rack(), item.Resources());
    if (!fit.mFits) {
      return Describe(fit);
    }
    sum = Plus(sum, EffectiveDemandOf(item.Resources()));
  }
  const auto requested = AmountsOf(sum);
  const auto total = AmountsOf(aScheduler.mVms.mTotal);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (requested[i] > total[i]) {
      return absl::StrCat(
        "needs ", requested[i], " ", kResourceNames[i], " together, all VMs offer ", total[i]);
    }
  }
  return {};
}

} // namespace

ScheduleOutcome
SubmitGang(Scheduler& aScheduler,
           const SchedulingPolicy& aPolicy,
           const std::vector<WorkItem>& aTasks,
           Time aNow)
{
  if (IsAnyKnown(aScheduler, aTasks)) {
    return RefuseAll(aTasks, Reason::Invalid, "a task is already queued or running");
  }
  const auto misfit = DescribeGangMisfit(aScheduler, aTasks);
  if (!misfit.empty() && !aScheduler.mVms.mRows.empty()) {
    return RefuseAll(aTasks, Reason::NeverFits, misfit);
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
  EnqueueGang(aScheduler, aTasks);
  return {};
}

} // namespace by
