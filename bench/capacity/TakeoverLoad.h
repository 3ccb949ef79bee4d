#pragma once

#include <cstdint>

namespace by {

/// What it costs a new owner to read the records of its cell.
struct TakeoverLoad
{
  std::int64_t mRecords{ 0 };
  /// Size of their keys and content. [bytes]
  std::int64_t mBytes{ 0 };
  /// Processor time of decoding the records, and of restoring the cell from them. [ms]
  double mDecodeMilliseconds{ 0 };
  double mRestoreMilliseconds{ 0 };
};

/// Reads the records of a cell whose open jobs have four steps and whose tasks are partly done.
/// @param aEndedJobs jobs whose outcome is still kept.
/// @param aWorkers workers among which the assigned tasks are dealt out.
TakeoverLoad
MeasureTakeover(int aEndedJobs, int aOpenJobs, int aWorkers);

} // namespace by
