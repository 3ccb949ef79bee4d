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

/// @returns whether this node should write a snapshot now: the newest one is a quarter of the
/// retention old, plus a sixteenth for each better rank, up to four, and this node's last attempt
/// is at least a sixteenth of the retention ago.
bool
IsSnapshotDue(const LogState& aState, Time aNow, const SnapshotSchedule& aSchedule);

/// Splits the folded state into snapshot records.
/// @param aRowsPerPiece maximum number of rows per piece, above zero; each task of an intent counts
///        as a row.
std::vector<Snapshot>
SnapshotPieces(const LogState& aState, std::size_t aRowsPerPiece);

/// Adds a piece that was read while the node starts.
/// @param aFirstAvailable the lowest offset that the log still has; a snapshot that continues below
///        it can't be used.
/// @returns the state to continue from, once a snapshot is complete.
std::optional<LogState>
AssembleSnapshot(SnapshotAssembly& aAssembly,
                 const Snapshot& aPiece,
                 std::uint64_t aFirstAvailable,
                 FoldLimits aLimits = {});

} // namespace by
