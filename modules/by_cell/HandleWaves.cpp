#include "by_cell/HandleWaves.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Evacuation.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

/// Delay before a failed maintenance order or a failed publication of a wave is repeated.
constexpr Time kRetryDelay = Time::FromMilliseconds(500);
/// The time limit for evacuating a machine is at least this, so that stopped runs can write their
/// checkpoint.
constexpr Time kMinEvacuationTime = Time::FromMilliseconds(1000);
/// A machine is ordered down without a worker only if the registry has listed none for this long.
constexpr Time kRegistryLag = Time::FromMilliseconds(2000);
/// A machine is evacuated for at most its share of the wave's time, less its maintenance and this
/// margin for the order and the store.
constexpr Time kOrderMargin = Time::FromMilliseconds(500);
/// An entry of the same process proves that a machine is back only after the registry has dropped
/// the entry from before the maintenance: three intervals between a worker's entries, plus a
/// margin.
constexpr Time kStaleEntryLifetime = Time::FromMilliseconds(6000);

std::string
Subject(std::uint64_t aWave, const std::string& aMachine)
{
  return absl::StrCat("wave ", aWave, " ", aMachine);
}

WorkerRow*
WorkerOn(CellState& aState, const std::string& aMachine)
{
  for (auto& [id, worker] : aState.mWorkers) {
    if (worker.mRegistered && worker.mRegistration.Machine() == aMachine) {
      return &worker;
    }
  }
  return nullptr;
}

void
EnterPhase(MaintenanceRow& aRow, MaintenancePhase aPhase, Time aNow)
{
  aRow.mPhase = aPhase;
  aRow.mPhaseSince = aNow;
}

bool
CountsAsDown(const MaintenanceRow& aRow)
{
  return aRow.mPhase != MaintenancePhase::Waiting && aRow.mPhase != MaintenancePhase::Finished;
}

void
SetEvacuating(CellState& aState, const std::string& aMachine, bool aEvacuating)
{
  auto* worker = WorkerOn(aState, aMachine);
  if (worker != nullptr && worker->mEvacuating != aEvacuating) {
    worker->mEvacuating = aEvacuating;
    aState.mPlacementNeeded = true;
  }
}

/// @returns how long evacuating a machine may take so that the wave ends in time.
Time
EvacuationTime(const CellState& aState, const WaveRow& aWave)
{
  const auto count = static_cast<std::int64_t>(aWave.mMachines.size());
  const auto limit = std::max<std::int64_t>(1, aWave.mWave.Limit());
  const auto rounds = std::max<std::int64_t>(1, (count + limit - 1) / limit);
  return std::max(kMinEvacuationTime,
                  aWave.mWave.Within() / rounds - aState.mSettings.MaintenanceTime() -
                    kOrderMargin);
}

/// @returns the waiting machine with the fewest runs, or an empty name.
std::string
NextMachine(CellState& aState, const WaveRow& aWave)
{
  std::string best;
  std::size_t fewest = 0;
  for (const auto& [machine, row] : aWave.mMachines) {
    if (row.mPhase != MaintenancePhase::Waiting) {
      continue;
    }
    const auto* worker = WorkerOn(aState, machine);
    const auto runs = worker == nullptr ? 0 : worker->mRuns.size();
    if (best.empty() || runs < fewest) {
      best = machine;
      fewest = runs;
    }
  }
  return best;
}

void
StartEvacuations(CellState& aState, WaveRow& aWave, Time aNow, Effects& aOut)
{
  auto down = std::count_if(aWave.mMachines.begin(), aWave.mMachines.end(), [](const auto& aEntry) {
    return CountsAsDown(aEntry.second);
  });
  for (; down < aWave.mWave.Limit(); ++down) {
    const auto machine = NextMachine(aState, aWave);
    if (machine.empty()) {
      return;
    }
    EnterPhase(aWave.mMachines.at(machine), MaintenancePhase::Evacuating, aNow);
    const auto* worker = WorkerOn(aState, machine);
    detail::Log(aOut,
                "machine.emptying",
                Subject(aWave.mWave.Number(), machine),
                absl::StrCat("runs=",
                             worker == nullptr ? 0 : worker->mRuns.size(),
                             " for_ms=",
                             EvacuationTime(aState, aWave).Milliseconds()));
  }
}

void
SendOrder(CellState& aState,
          const WaveRow& aWave,
          const std::string& aMachine,
          MaintenanceRow& aRow,
          Time aNow,
          Effects& aOut)
{
  if (aRow.mOrderInFlight || aNow < aRow.mNextOrder ||
      aNow < aState.mOwnerSince + aState.mSettings.MaintenanceHoldoff()) {
    return;
  }
  aRow.mOrderInFlight = true;
  detail::Emit(aOut,
               StartMaintenance::Create(
                 { .mMachine = aMachine, .mWave = aWave.mWave.Number(), .mEpoch = aState.mEpoch })
                 .value());
}

void
EvacuateMachine(CellState& aState,
                const WaveRow& aWave,
                const std::string& aMachine,
                MaintenanceRow& aRow,
                Time aNow,
                Effects& aOut)
{
  const auto until = aRow.mPhaseSince + EvacuationTime(aState, aWave);
  auto* worker = WorkerOn(aState, aMachine);
  if (worker != nullptr) {
    worker->mEvacuating = true;
    detail::Evacuate(aState, *worker, until, aNow, aOut);
    if (!worker->mRuns.empty() && (aNow < until || detail::HasProtectedRun(aState, *worker))) {
      return;
    }
  } else if (aNow < aRow.mPhaseSince + kRegistryLag) {
    return;
  }
  EnterPhase(aRow, MaintenancePhase::Storing, aNow);
  aState.mNewMaintenance.emplace(aWave.mWave.Number(), aMachine);
}

void
AdvanceMachines(CellState& aState, WaveRow& aWave, Time aNow, Effects& aOut)
{
  StartEvacuations(aState, aWave, aNow, aOut);
  for (auto& [machine, row] : aWave.mMachines) {
    if (row.mPhase == MaintenancePhase::Evacuating) {
      EvacuateMachine(aState, aWave, machine, row, aNow, aOut);
    } else if (row.mPhase == MaintenancePhase::Ordered) {
      SetEvacuating(aState, machine, true);
      SendOrder(aState, aWave, machine, row, aNow, aOut);
    }
  }
  const bool isFinished =
    std::all_of(aWave.mMachines.begin(), aWave.mMachines.end(), [](const auto& aEntry) {
      return aEntry.second.mPhase == MaintenancePhase::Finished;
    });
  if (isFinished) {
    aWave.mCompleted = true;
    detail::Log(aOut,
                "wave.completed",
                absl::StrCat("wave ", aWave.mWave.Number()),
                absl::StrCat("machines=",
                             aWave.mMachines.size(),
                             " took_ms=",
                             (aNow - aWave.mRequestedAt).Milliseconds(),
                             " within_ms=",
                             aWave.mWave.Within().Milliseconds()));
    aState.mNewMaintenance.emplace(aWave.mWave.Number(), std::string());
    for (const auto& [machine, row] : aWave.mMachines) {
      aState.mDeletedKeys.push_back(MaintenanceRecordKey(aWave.mWave.Number(), machine));
    }
  }
}

void
Publish(WaveRow& aWave, Time aNow, Effects& aOut)
{
  const bool isPublished = aWave.mCompleted ? aWave.mPublishedCompleted : aWave.mPublishedRunning;
  if (isPublished || aWave.mPublishInFlight || aNow < aWave.mNextPublish) {
    return;
  }
  aWave.mPublishInFlight = true;
  detail::Emit(
    aOut,
    PublishWave::Create({ .mNumber = aWave.mWave.Number(), .mCompleted = aWave.mCompleted })
      .value());
}

} // namespace

void
HandleWave(CellState& aState, const MaintenanceWave& aEvent, Time aNow, Effects& aOut)
{
  auto& wave = aState.mWaves[aEvent.Number()];
  if (wave.mRequestedAt > Time()) {
    return;
  }
  wave.mWave = aEvent;
  wave.mRequestedAt = aNow;
  for (const auto& machine : aEvent.Machines()) {
    wave.mMachines.try_emplace(machine);
  }
  detail::Log(aOut,
              "wave.asked",
              absl::StrCat("wave ", aEvent.Number()),
              absl::StrCat("machines=",
                           aEvent.Machines().size(),
                           " limit=",
                           aEvent.Limit(),
                           " within_ms=",
                           aEvent.Within().Milliseconds(),
                           " completed_before=",
                           wave.mCompleted));
}

void
HandleMaintenanceAnswered(CellState& aState,
                          const MaintenanceAnswered& aEvent,
                          Time aNow,
                          Effects& aOut)
{
  const auto wave = aState.mWaves.find(aEvent.Wave());
  if (wave == aState.mWaves.end()) {
    return;
  }
  const auto it = wave->second.mMachines.find(aEvent.Machine());
  if (it == wave->second.mMachines.end() || it->second.mPhase != MaintenancePhase::Ordered) {
    return;
  }
  auto& row = it->second;
  row.mOrderInFlight = false;
  row.mNextOrder = aNow + kRetryDelay;
  detail::Log(aOut,
              "machine.upkeep",
              Subject(aEvent.Wave(), aEvent.Machine()),
              absl::StrCat("outcome=", std::string(ToString(aEvent.Outcome()))));
  switch (aEvent.Outcome()) {
    case MaintenanceOutcome::Started:
      EnterPhase(row, MaintenancePhase::Down, aNow);
      if (const auto* worker = WorkerOn(aState, aEvent.Machine())) {
        row.mPreviousProcessStart = worker->mProcessStart;
      }
      return;
    case MaintenanceOutcome::NoMachine:
    case MaintenanceOutcome::NotInWave:
      EnterPhase(row, MaintenancePhase::Finished, aNow);
      SetEvacuating(aState, aEvent.Machine(), false);
      return;
    case MaintenanceOutcome::Fenced:
      detail::Log(aOut, "cell.fenced", absl::StrCat("epoch ", aState.mEpoch), "by=machines");
      aState.mFenced = true;
      return;
    case MaintenanceOutcome::Busy:
    case MaintenanceOutcome::Refused:
    case MaintenanceOutcome::Unanswered:
      return;
  }
}

void
HandleWavePublished(CellState& aState, const WavePublished& aEvent, Time aNow, Effects&)
{
  const auto it = aState.mWaves.find(aEvent.Number());
  if (it == aState.mWaves.end()) {
    return;
  }
  auto& wave = it->second;
  wave.mPublishInFlight = false;
  wave.mNextPublish = aEvent.Stored() ? aNow : aNow + kRetryDelay;
  if (aEvent.Stored()) {
    (aEvent.Completed() ? wave.mPublishedCompleted : wave.mPublishedRunning) = true;
  }
}

void
AdvanceWaves(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mFenced) {
    return;
  }
  for (auto& [number, wave] : aState.mWaves) {
    // An earlier owner's record may be restored before the operator's wave is read.
    if (wave.mRequestedAt == Time()) {
      continue;
    }
    if (!wave.mCompleted) {
      AdvanceMachines(aState, wave, aNow, aOut);
    }
    Publish(wave, aNow, aOut);
  }
}

void
OrderStoredMaintenance(CellState& aState,
                       const std::vector<std::pair<std::uint64_t, std::string>>& aMaintenance,
                       Time aNow,
                       Effects& aOut)
{
  for (const auto& [number, machine] : aMaintenance) {
    const auto wave = aState.mWaves.find(number);
    if (wave == aState.mWaves.end()) {
      continue;
    }
    const auto row = wave->second.mMachines.find(machine);
    if (row != wave->second.mMachines.end() && row->second.mPhase == MaintenancePhase::Storing) {
      EnterPhase(row->second, MaintenancePhase::Ordered, aNow);
      SendOrder(aState, wave->second, machine, row->second, aNow, aOut);
    }
  }
}

void
FinishMaintenanceIfBack(CellState& aState,
                        const WorkerRegistration& aEntry,
                        Time aNow,
                        Effects& aOut)
{
  for (auto& [number, wave] : aState.mWaves) {
    const auto it = wave.mMachines.find(aEntry.Machine());
    if (it == wave.mMachines.end() || it->second.mPhase != MaintenancePhase::Down) {
      continue;
    }
    auto& row = it->second;
    // An entry that is read just after the answer may have been written before the machine went
    // down.
    const bool isNewIncarnation = row.mPreviousProcessStart > Time() &&
                                  aEntry.ProcessStart() > row.mPreviousProcessStart &&
                                  aNow >= row.mPhaseSince + aState.mSettings.MaintenanceTime() / 2;
    if (!isNewIncarnation && aNow < row.mPhaseSince + kStaleEntryLifetime) {
      continue;
    }
    EnterPhase(row, MaintenancePhase::Finished, aNow);
    SetEvacuating(aState, aEntry.Machine(), false);
    detail::Log(
      aOut,
      "machine.back",
      Subject(number, aEntry.Machine()),
      absl::StrCat("worker=", aEntry.Id(), " born=", aEntry.ProcessStart().Milliseconds()));
  }
}

void
RestoreMaintenance(CellState& aState, const MaintenanceRecord& aRecord, Time aNow)
{
  auto& wave = aState.mWaves[aRecord.Wave()];
  if (aRecord.Machine().empty()) {
    wave.mCompleted = true;
    return;
  }
  EnterPhase(wave.mMachines[aRecord.Machine()], MaintenancePhase::Ordered, aNow);
}

} // namespace by
