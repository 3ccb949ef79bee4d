#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "by_core/Time.h"
#include "by_log_state/FoldLimits.h"
#include "by_log_state/LogState.h"
#include "by_log_state/SnapshotSchedule.h"

namespace by {

class Snapshot;
struct SnapshotAssembly;

/// Says whether this node should write a snapshot now: the newest one is a quarter of the retention
/// old, later by a step for each better rank.
bool
IsSnapshotDue(const LogState& aState, Time aNow, const SnapshotSchedule& aSchedule);

/// Cuts the folded state into snapshot records.
/// @param aRowsPerPiece rows a piece at most, above zero; a task of an intent counts as a row.
std::vector<Snapshot>
SnapshotPieces(const LogState& aState, std::size_t aRowsPerPiece);

/// Adds a piece that was read while starting from the log.
/// @param aFirstAvailable the lowest offset that the log still has; a snapshot that would read on
///        from below it is of no use.
/// @returns the state to read on from once a snapshot is whole.
std::optional<LogState>
AssembleSnapshot(SnapshotAssembly& aAssembly,
                 const Snapshot& aPiece,
                 std::uint64_t aFirstAvailable,
                 FoldLimits aLimits = {});

} // namespace by
