#pragma once

#include <cstdint>
#include <vector>

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// Assigns a task to a worker, to be started once the assignment is stored.
/// @param aRun the number of the new run.
void
AssignTask(PlacementPass& aPass,
           JobRow& aJob,
           const JobTaskKey& aTask,
           WorkerRow& aWorker,
           std::uint32_t aRun);

/// Assigns the members of a gang, all under the same run number.
/// @param aHosts the worker of each member.
void
AssignGang(PlacementPass& aPass,
           JobRow& aJob,
           const ReadyKey& aKey,
           const std::vector<WorkerRow*>& aHosts);

} // namespace by::detail
