#pragma once

#include <cstdint>

namespace by {

/// What the decisions of a cell's owner cost.
struct OwnerLoad
{
  /// Processor time of the owner's steps for each simulated second. [ms]
  double mMillisecondsASecond{ 0 };
  double mStartsASecond{ 0 };
  double mEventsASecond{ 0 };
  /// Records that the owner appends to the store, and the size of their keys and content. [bytes]
  double mRecordsASecond{ 0 };
  double mRecordBytesASecond{ 0 };
  /// Jobs that had not ended at the end.
  std::int64_t mOpenJobs{ 0 };
};

/// Runs the owner of a cell with workers and callers that are simulated in steps of 1 ms. Jobs need
/// advice, as on the users' platform.
/// @param aJobsASecond jobs submitted each second; jobs beyond what the workers can run wait.
/// @param aBacklog jobs submitted at the start.
OwnerLoad
MeasureOwnerLoad(int aWorkers, int aJobsASecond, int aSeconds, int aBacklog);

} // namespace by
