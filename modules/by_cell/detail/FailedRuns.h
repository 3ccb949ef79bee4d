#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_cell/RunId.h"

namespace by::detail {

/// The failed runs of a task, or of all members of its gang.
struct FailedRuns
{
  /// How often a run of any of the tasks ended as failed.
  std::size_t mEnds{ 0 };
  /// The numbers of these runs; the members of a gang share them.
  std::set<std::uint32_t> mRuns;

  friend bool operator==(const FailedRuns&, const FailedRuns&) = default;
};

/// @returns the failed runs of a task, or of all members of its gang.
FailedRuns
CollectFailedRuns(const JobRow& aJob, const JobTaskKey& aTask);

/// Counts a failed run, also where the task was requeued before the end was reported: a gang is
/// requeued on the first end of a member, and the failed member may be reported last.
/// The job's row is invalid afterwards if the job has failed.
/// @param aWorker the id of the worker that reported the end.
void
FailTask(CellState& aState,
         JobRow& aJob,
         const RunId& aRun,
         const std::string& aWorker,
         Time aNow,
         Effects& aOut);

} // namespace by::detail
