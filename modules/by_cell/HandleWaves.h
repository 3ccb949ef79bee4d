#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/MaintenanceAnswered.h"
#include "by_schema/MaintenanceRecord.h"
#include "by_schema/WavePublished.h"

namespace by {

/// Takes a wave of upkeep in that operators ask for; a wave that is known stays as it is.
void
HandleWave(CellState& aState, const MaintenanceWave& aEvent, Time aNow, Effects& aOut);

/// Takes the answer to an order for a machine.
void
HandleMaintenanceAnswered(CellState& aState,
                          const MaintenanceAnswered& aEvent,
                          Time aNow,
                          Effects& aOut);

/// Takes note of what operators can see of a wave.
void
HandleWavePublished(CellState& aState, const WavePublished& aEvent, Time aNow, Effects& aOut);

/// Empties machines, orders their upkeep, and tells how far waves are.
void
AdvanceWaves(CellState& aState, Time aNow, Effects& aOut);

/// Orders the upkeep of machines whose records are stored.
void
OrderStoredMaintenance(CellState& aState,
                       const std::vector<std::pair<std::uint64_t, std::string>>& aMaintenance,
                       Time aNow,
                       Effects& aOut);

/// Takes note of a worker's entry: its machine may be back from its upkeep.
void
FinishMaintenanceIfBack(CellState& aState,
                        const WorkerRegistration& aEntry,
                        Time aNow,
                        Effects& aOut);

/// Takes a stored record of an earlier owner in.
void
RestoreMaintenance(CellState& aState, const MaintenanceRecord& aRecord, Time aNow);

} // namespace by
