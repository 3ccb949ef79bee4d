#include "by_intents/StepRackTasks.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

#include "by_intents/IntentLimits.h"
#include "by_intents/TaskNames.h"
#include "by_intents/detail/OwnerStep.h"
#include "by_intents/detail/TrackedTasks.h"

namespace by {

namespace {

/// Stops tracking the tasks of a rack whose epoch has ended; the next owner finds the running ones
/// again in the inventories.
void
UntrackRack(detail::OwnerStep& aStep, const RackId& aRack)
{
  std::vector<TaskKey> keys;
  for (const auto& [key, task] : aStep.mTasks.mTasks) {
    if (task.mRack == aRack) {
      keys.push_back(key);
    }
  }
  std::sort(keys.begin(), keys.end());
  for (const auto& key : keys) {
    const auto phase = aStep.mTasks.mTasks.at(key).mPhase;
    if (phase == TaskPhase::Offered || phase == TaskPhase::Reserved) {
      aStep.mActions.mCancels.push_back(TaskIdOf(key));
    }
    detail::UntrackTask(aStep.mTasks, key);
  }
  aStep.mTasks.mOwned.erase(aRack);
  aStep.mTasks.mCheckedEpochs.erase(aRack);
}

/// Removes racks that are no longer owned under the same epoch and adds new ones.
void
UpdateOwnedRacks(detail::OwnerStep& aStep)
{
  absl::flat_hash_map<RackId, std::uint64_t> owned;
  for (const auto& rack : aStep.mContext.mRacks) {
    owned.emplace(rack.mRack, rack.mEpoch);
  }
  std::vector<RackId> lost;
  for (const auto& [rack, epoch] : aStep.mTasks.mOwned) {
    const auto it = owned.find(rack);
    if (it == owned.end() || it->second != epoch) {
      lost.push_back(rack);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const auto& rack : lost) {
    UntrackRack(aStep, rack);
  }
  aStep.mTasks.mOwned = std::move(owned);
}

void
TrackAssignments(detail::OwnerStep& aStep)
{
  for (const auto& rack : aStep.mContext.mRacks) {
    detail::ReportMissingTasks(aStep, rack);
    const auto load = aStep.mTable.mRacks.find(rack.mRack);
    if (load != aStep.mTable.mRacks.end()) {
      for (const auto& key : load->second.mPending) {
        detail::TrackAssignment(aStep, rack, key);
      }
    }
  }
}

/// Splits the reports into records of limited size.
void
WriteReports(detail::OwnerStep& aStep)
{
  for (auto& [rack, reports] : aStep.mReports) {
    const auto epoch = aStep.mTasks.mOwned.at(rack);
    for (std::size_t n = 0; n < reports.size(); n += kMaxReportsPerRecord) {
      const auto end = std::min(reports.size(), n + kMaxReportsPerRecord);
      std::vector<TaskReport> part(
        std::make_move_iterator(reports.begin() + static_cast<std::ptrdiff_t>(n)),
        std::make_move_iterator(reports.begin() + static_cast<std::ptrdiff_t>(end)));
      aStep.mActions.mReports.push_back(
        TaskReports::Create({ .mRack = rack, .mEpoch = epoch, .mReports = std::move(part) })
          .value());
    }
  }
}

void
SortUnique(std::vector<VmId>& aVms)
{
  std::sort(aVms.begin(), aVms.end());
  aVms.erase(std::unique(aVms.begin(), aVms.end()), aVms.end());
}

} // namespace

RackTaskActions
StepRackTasks(RackTasks& aTasks,
              const IntentTable& aTable,
              const RackTasksContext& aContext,
              Time aNow)
{
  detail::OwnerStep step{ .mTasks = aTasks,
                          .mTable = aTable,
                          .mContext = aContext,
                          .mNow = aNow,
                          .mActions = {},
                          .mReports = {} };
  step.mActions.mCancels = std::exchange(aTasks.mSupersededOffers, {});
  step.mActions.mAcknowledged = std::exchange(aTasks.mStaleEnds, {});
  UpdateOwnedRacks(step);
  TrackAssignments(step);
  const std::vector<TaskKey> active(aTasks.mActive.begin(), aTasks.mActive.end());
  for (const auto& key : active) {
    detail::AdvanceTask(step, key);
  }
  WriteReports(step);
  SortUnique(step.mActions.mInventoryRequests);
  return std::move(step.mActions);
}

} // namespace by
