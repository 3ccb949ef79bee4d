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

/// Adds a maintenance wave that operators request; a known wave stays unchanged.
void
HandleWave(CellState& aState, const MaintenanceWave& aEvent, Time aNow, Effects& aOut);

/// Applies the answer to a machine's maintenance order.
void
HandleMaintenanceAnswered(CellState& aState,
                          const MaintenanceAnswered& aEvent,
                          Time aNow,
                          Effects& aOut);

/// Applies the outcome of publishing a wave's state for operators.
void
HandleWavePublished(CellState& aState, const WavePublished& aEvent, Time aNow, Effects& aOut);

/// Evacuates machines, orders their maintenance, and publishes the state of the waves.
void
AdvanceWaves(CellState& aState, Time aNow, Effects& aOut);

/// Orders the maintenance of machines whose records are stored.
void
OrderStoredMaintenance(CellState& aState,
                       const std::vector<std::pair<std::uint64_t, std::string>>& aMaintenance,
                       Time aNow,
                       Effects& aOut);

/// Ends a machine's maintenance if a worker's registry entry proves that the machine is back.
void
FinishMaintenanceIfBack(CellState& aState,
                        const WorkerRegistration& aEntry,
                        Time aNow,
                        Effects& aOut);

/// Restores a maintenance record that an earlier owner stored.
void
RestoreMaintenance(CellState& aState, const MaintenanceRecord& aRecord, Time aNow);

} // namespace by
