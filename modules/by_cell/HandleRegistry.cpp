#include "by_cell/HandleRegistry.h"

#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Incarnations.h"
#include "by_cell/detail/Runs.h"

namespace by {

namespace {

/// Keeps an entry that does not belong to the worker's process, unless it is left over from the
/// process before.
void
KeepDoubtfulEntry(CellState& aState,
                  WorkerRow& aWorker,
                  const WorkerRegistration& aEntry,
                  Time aNow,
                  Effects& aOut)
{
  const bool isLeftOver = aEntry.ProcessStart() == aWorker.mFormerProcessStart;
  detail::Log(aOut,
              "worker.stale_entry",
              aEntry.Id(),
              absl::StrCat("born=",
                           aEntry.ProcessStart().Milliseconds(),
                           " known=",
                           aWorker.mProcessStart.Milliseconds(),
                           " decision=",
                           isLeftOver ? "ignore" : "look"));
  if (!isLeftOver) {
    aWorker.mDoubtfulEntry = aEntry;
    detail::SchedulePoll(aState, aWorker, aNow);
  }
}

bool
IsOfFormerProcess(const WorkerRow& aWorker, const WorkerRegistration& aEntry)
{
  const auto start = aEntry.ProcessStart();
  return start > Time() && start != aWorker.mProcessStart &&
         (start < aWorker.mProcessStart || start == aWorker.mFormerProcessStart);
}

void
Register(CellState& aState, const WorkerRegistration& aEntry, Time aNow, Effects& aOut)
{
  auto& worker = aState.mWorkers[aEntry.Id()];
  if (IsOfFormerProcess(worker, aEntry)) {
    KeepDoubtfulEntry(aState, worker, aEntry, aNow, aOut);
    return;
  }
  worker.mDoubtfulEntry.reset();
  const bool isNew = !worker.mRegistered;
  const bool moved = worker.mRegistration.Endpoint() != aEntry.Endpoint();
  if (isNew) {
    detail::RecordReplacedWorkers(aState, aEntry, aNow, aOut);
  }
  if (!detail::IsSameIncarnation(worker, aEntry.ProcessStart())) {
    detail::ResetIncarnation(aState, worker, "registered by a new process", aNow, aOut);
    worker.mProcessStart = aEntry.ProcessStart();
  }
  if (worker.mProcessStart == Time()) {
    worker.mProcessStart = aEntry.ProcessStart();
  }
  if (isNew || worker.mRegistration.Draining() != aEntry.Draining()) {
    detail::Log(aOut,
                aEntry.Draining() ? "worker.draining" : "worker.registered",
                aEntry.Id(),
                absl::StrCat("pool=",
                             aEntry.Pool(),
                             " born=",
                             aEntry.ProcessStart().Milliseconds(),
                             " runs=",
                             worker.mRuns.size()));
  }
  if (!aEntry.Draining()) {
    worker.mDrainsUntil = Time::Never();
  } else if (worker.mDrainsUntil == Time::Never()) {
    worker.mDrainsUntil =
      aNow + (aEntry.DrainTimeLeft() > Time() ? aEntry.DrainTimeLeft()
                                              : aState.mSettings.DefaultDrainTime());
  }
  worker.mRegistration = aEntry;
  worker.mRegistered = true;
  FinishMaintenanceIfBack(aState, aEntry, aNow, aOut);
  worker.mDeregisteredAt = Time();
  if (moved && worker.mHealth == WorkerHealth::LeaseExpired) {
    worker.mHealth = WorkerHealth::Unseen;
  }
  if (moved && worker.mHealth != WorkerHealth::Reachable) {
    detail::SchedulePoll(aState, worker, aNow);
  }
  aState.mPlacementNeeded = true;
}

void
Unregister(CellState& aState, const std::string& aId, Time aNow, Effects& aOut)
{
  const auto it = aState.mWorkers.find(aId);
  if (it == aState.mWorkers.end()) {
    return;
  }
  it->second.mDoubtfulEntry.reset();
  if (!it->second.mRegistered) {
    return;
  }
  it->second.mRegistered = false;
  it->second.mDeregisteredAt = aNow;
  detail::Log(
    aOut, "worker.gone", aId, absl::StrCat("runs=", it->second.mRuns.size(), " by=registry"));
  if (!it->second.mRuns.empty()) {
    detail::SchedulePoll(aState, it->second, aNow);
  }
}

} // namespace

void
ApplyDoubtfulEntry(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  if (aWorker.mDoubtfulEntry && aWorker.mDoubtfulEntry->ProcessStart() == aWorker.mProcessStart) {
    const auto entry = *aWorker.mDoubtfulEntry;
    Register(aState, entry, aNow, aOut);
    aState.mCapacityMayHaveGrown = true;
  }
}

void
HandleWorkersChanged(CellState& aState, const WorkersChanged& aEvent, Time aNow, Effects& aOut)
{
  for (const auto& entry : aEvent.Present()) {
    Register(aState, entry, aNow, aOut);
    aState.mCapacityMayHaveGrown = true;
  }
  for (const auto& id : aEvent.Gone()) {
    Unregister(aState, id, aNow, aOut);
  }
  if (!aEvent.Complete()) {
    return;
  }
  aState.mRegistryRead = true;
  absl::flat_hash_set<std::string_view> present;
  present.reserve(aEvent.Present().size());
  for (const auto& entry : aEvent.Present()) {
    present.insert(entry.Id());
  }
  std::vector<std::string> missing;
  for (const auto& [id, worker] : aState.mWorkers) {
    if (worker.mRegistered && !present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    Unregister(aState, id, aNow, aOut);
  }
}

} // namespace by
