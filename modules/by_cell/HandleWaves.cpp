#include "by_cell/HandleWaves.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Evacuation.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

/// Pause before an order, or the state of a wave, is sent again that was not taken.
constexpr Time kRetry = Time::FromMilliseconds(500);
/// A machine is emptied for at least this long, so that what is stopped can leave its checkpoint.
constexpr Time kLeastEmptying = Time::FromMilliseconds(1000);
/// A machine without a worker is ordered down only once the registry has had the time to name one.
constexpr Time kRegistryLag = Time::FromMilliseconds(2000);
/// A machine is emptied for at most its share of the wave's time, less its upkeep and this for the
/// order and the store.
constexpr Time kOrderTime = Time::FromMilliseconds(500);
/// An entry of the same process counts as proof that a machine is back only after the registry has
/// dropped what stood there before: three pauses between the entries of a worker, and some.
constexpr Time kOldEntryGone = Time::FromMilliseconds(6000);

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
Enter(UpkeepRow& aRow, UpkeepPhase aPhase, Time aNow)
{
  aRow.mPhase = aPhase;
  aRow.mSince = aNow;
}

bool
CountsAsDown(const UpkeepRow& aRow)
{
  return aRow.mPhase != UpkeepPhase::Waiting && aRow.mPhase != UpkeepPhase::Finished;
}

void
SetEmptying(CellState& aState, const std::string& aMachine, bool aEmptying)
{
  auto* worker = WorkerOn(aState, aMachine);
  if (worker != nullptr && worker->mEmptying != aEmptying) {
    worker->mEmptying = aEmptying;
    aState.mPlaceAgain = true;
  }
}

/// @returns how long a machine may be emptied so that the wave ends in time.
Time
EmptyingTime(const CellState& aState, const WaveRow& aWave)
{
  const auto count = static_cast<std::int64_t>(aWave.mMachines.size());
  const auto limit = std::max<std::int64_t>(1, aWave.mWave.Limit());
  const auto turns = std::max<std::int64_t>(1, (count + limit - 1) / limit);
  return std::max(kLeastEmptying,
                  aWave.mWave.Within() / turns - aState.mSettings.MaintenanceTime() - kOrderTime);
}

/// Those with the least on them come first.
std::string
NextMachine(CellState& aState, const WaveRow& aWave)
{
  std::string best;
  std::size_t fewest = 0;
  for (const auto& [machine, row] : aWave.mMachines) {
    if (row.mPhase != UpkeepPhase::Waiting) {
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
BeginMachines(CellState& aState, WaveRow& aWave, Time aNow, Effects& aOut)
{
  auto down = std::count_if(aWave.mMachines.begin(), aWave.mMachines.end(), [](const auto& aEntry) {
    return CountsAsDown(aEntry.second);
  });
  for (; down < aWave.mWave.Limit(); ++down) {
    const auto machine = NextMachine(aState, aWave);
    if (machine.empty()) {
      return;
    }
    Enter(aWave.mMachines.at(machine), UpkeepPhase::Emptying, aNow);
    const auto* worker = WorkerOn(aState, machine);
    detail::Log(aOut,
                "machine.emptying",
                Subject(aWave.mWave.Number(), machine),
                absl::StrCat("runs=",
                             worker == nullptr ? 0 : worker->mRuns.size(),
                             " for_ms=",
                             EmptyingTime(aState, aWave).Milliseconds()));
  }
}

void
Order(CellState& aState,
      const WaveRow& aWave,
      const std::string& aMachine,
      UpkeepRow& aRow,
      Time aNow,
      Effects& aOut)
{
  if (aRow.mOrderOpen || aNow < aRow.mNextOrder ||
      aNow < aState.mOwnerSince + aState.mSettings.MaintenanceHoldoff()) {
    return;
  }
  aRow.mOrderOpen = true;
  detail::Emit(aOut,
               StartMaintenance::Create(
                 { .mMachine = aMachine, .mWave = aWave.mWave.Number(), .mEpoch = aState.mEpoch })
                 .value());
}

void
Empty(CellState& aState,
      const WaveRow& aWave,
      const std::string& aMachine,
      UpkeepRow& aRow,
      Time aNow,
      Effects& aOut)
{
  const auto until = aRow.mSince + EmptyingTime(aState, aWave);
  auto* worker = WorkerOn(aState, aMachine);
  if (worker != nullptr) {
    worker->mEmptying = true;
    detail::Evacuate(aState, *worker, until, aNow, aOut);
    if (!worker->mRuns.empty() && (aNow < until || detail::HasProtectedRun(aState, *worker))) {
      return;
    }
  } else if (aNow < aRow.mSince + kRegistryLag) {
    return;
  }
  Enter(aRow, UpkeepPhase::Storing, aNow);
  aState.mNewUpkeeps.emplace(aWave.mWave.Number(), aMachine);
}

void
TendMachines(CellState& aState, WaveRow& aWave, Time aNow, Effects& aOut)
{
  BeginMachines(aState, aWave, aNow, aOut);
  for (auto& [machine, row] : aWave.mMachines) {
    if (row.mPhase == UpkeepPhase::Emptying) {
      Empty(aState, aWave, machine, row, aNow, aOut);
    } else if (row.mPhase == UpkeepPhase::Ordered) {
      SetEmptying(aState, machine, true);
      Order(aState, aWave, machine, row, aNow, aOut);
    }
  }
  const bool isOver =
    std::all_of(aWave.mMachines.begin(), aWave.mMachines.end(), [](const auto& aEntry) {
      return aEntry.second.mPhase == UpkeepPhase::Finished;
    });
  if (isOver) {
    aWave.mCompleted = true;
    detail::Log(aOut,
                "wave.completed",
                absl::StrCat("wave ", aWave.mWave.Number()),
                absl::StrCat("machines=",
                             aWave.mMachines.size(),
                             " took_ms=",
                             (aNow - aWave.mAskedAt).Milliseconds(),
                             " within_ms=",
                             aWave.mWave.Within().Milliseconds()));
    aState.mNewUpkeeps.emplace(aWave.mWave.Number(), std::string());
    for (const auto& [machine, row] : aWave.mMachines) {
      aState.mDropped.push_back(UpkeepRecordKey(aWave.mWave.Number(), machine));
    }
  }
}

void
Show(WaveRow& aWave, Time aNow, Effects& aOut)
{
  const bool isShown = aWave.mCompleted ? aWave.mShownCompleted : aWave.mShownRunning;
  if (isShown || aWave.mShowOpen || aNow < aWave.mNextShow) {
    return;
  }
  aWave.mShowOpen = true;
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
  if (wave.mAskedAt > Time()) {
    return;
  }
  wave.mWave = aEvent;
  wave.mAskedAt = aNow;
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
HandleUpkeepAnswered(CellState& aState, const MaintenanceAnswered& aEvent, Time aNow, Effects& aOut)
{
  const auto wave = aState.mWaves.find(aEvent.Wave());
  if (wave == aState.mWaves.end()) {
    return;
  }
  const auto it = wave->second.mMachines.find(aEvent.Machine());
  if (it == wave->second.mMachines.end() || it->second.mPhase != UpkeepPhase::Ordered) {
    return;
  }
  auto& row = it->second;
  row.mOrderOpen = false;
  row.mNextOrder = aNow + kRetry;
  detail::Log(aOut,
              "machine.upkeep",
              Subject(aEvent.Wave(), aEvent.Machine()),
              absl::StrCat("outcome=", std::string(ToString(aEvent.Outcome()))));
  switch (aEvent.Outcome()) {
    case MaintenanceOutcome::Started:
      Enter(row, UpkeepPhase::Down, aNow);
      if (const auto* worker = WorkerOn(aState, aEvent.Machine())) {
        row.mBornBefore = worker->mProcessStart;
      }
      return;
    case MaintenanceOutcome::NoMachine:
    case MaintenanceOutcome::NotInWave:
      Enter(row, UpkeepPhase::Finished, aNow);
      SetEmptying(aState, aEvent.Machine(), false);
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
HandleWaveShown(CellState& aState, const WavePublished& aEvent, Time aNow, Effects&)
{
  const auto it = aState.mWaves.find(aEvent.Number());
  if (it == aState.mWaves.end()) {
    return;
  }
  auto& wave = it->second;
  wave.mShowOpen = false;
  wave.mNextShow = aEvent.Stored() ? aNow : aNow + kRetry;
  if (aEvent.Stored()) {
    (aEvent.Completed() ? wave.mShownCompleted : wave.mShownRunning) = true;
  }
}

void
TendWaves(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mFenced) {
    return;
  }
  for (auto& [number, wave] : aState.mWaves) {
    // A record of an earlier owner may come before the operator's wave is read.
    if (wave.mAskedAt == Time()) {
      continue;
    }
    if (!wave.mCompleted) {
      TendMachines(aState, wave, aNow, aOut);
    }
    Show(wave, aNow, aOut);
  }
}

void
UpkeepsAreStored(CellState& aState,
                 const std::vector<std::pair<std::uint64_t, std::string>>& aUpkeeps,
                 Time aNow,
                 Effects& aOut)
{
  for (const auto& [number, machine] : aUpkeeps) {
    const auto wave = aState.mWaves.find(number);
    if (wave == aState.mWaves.end()) {
      continue;
    }
    const auto row = wave->second.mMachines.find(machine);
    if (row != wave->second.mMachines.end() && row->second.mPhase == UpkeepPhase::Storing) {
      Enter(row->second, UpkeepPhase::Ordered, aNow);
      Order(aState, wave->second, machine, row->second, aNow, aOut);
    }
  }
}

void
NoteMachine(CellState& aState, const WorkerRegistration& aEntry, Time aNow, Effects& aOut)
{
  for (auto& [number, wave] : aState.mWaves) {
    const auto it = wave.mMachines.find(aEntry.Machine());
    if (it == wave.mMachines.end() || it->second.mPhase != UpkeepPhase::Down) {
      continue;
    }
    auto& row = it->second;
    // What is read just after the answer may have been written before the machine went down.
    const bool isNewLife = row.mBornBefore > Time() && aEntry.ProcessStart() > row.mBornBefore &&
                           aNow >= row.mSince + aState.mSettings.MaintenanceTime() / 2;
    if (!isNewLife && aNow < row.mSince + kOldEntryGone) {
      continue;
    }
    Enter(row, UpkeepPhase::Finished, aNow);
    SetEmptying(aState, aEntry.Machine(), false);
    detail::Log(
      aOut,
      "machine.back",
      Subject(number, aEntry.Machine()),
      absl::StrCat("worker=", aEntry.Id(), " born=", aEntry.ProcessStart().Milliseconds()));
  }
}

void
RestoreUpkeep(CellState& aState, const MaintenanceRecord& aRecord, Time aNow)
{
  auto& wave = aState.mWaves[aRecord.Wave()];
  if (aRecord.Machine().empty()) {
    wave.mCompleted = true;
    return;
  }
  Enter(wave.mMachines[aRecord.Machine()], UpkeepPhase::Ordered, aNow);
}

} // namespace by
