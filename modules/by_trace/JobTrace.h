#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "by_trace/LogRecord.h"
#include "by_trace/TraceReason.h"
#include "by_trace/TraceStage.h"

namespace by {

/// What the logs of any number of nodes say of one job.
struct JobTrace
{
  std::string mJob;
  /// How the job ended; empty if no log says so.
  std::string mOutcome;
  /// The stages in the order of their times.
  std::vector<TraceStage> mStages;
  /// The reasons, by kind and name.
  std::vector<TraceReason> mReasons;
  /// The job's records and those of the cell while the job was open, in the order of their times.
  /// Clocks of nodes may differ, so that records of two nodes may stand in the wrong order.
  std::vector<LogRecord> mRecords;
  /// Why the trail ends early; empty if it is complete.
  std::string mGap;

  friend bool operator==(const JobTrace&, const JobTrace&) = default;
  friend auto operator<=>(const JobTrace&, const JobTrace&) = default;
};

/// Joins the records of a job.
/// @param aRecords records of the job and of the cell, in any order.
/// @returns nothing if no record is of the job.
std::optional<JobTrace>
TraceJob(const std::string& aJob, std::vector<LogRecord> aRecords);

} // namespace by
