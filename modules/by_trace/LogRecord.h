#pragma once

#include <compare>
#include <string>

#include "by_core/Time.h"

namespace by {

/// One structured line of a node's log.
struct LogRecord
{
  /// The time of day at the node, since 1970.
  Time mAt;
  std::string mNode;
  std::string mEvent;
  /// The job, task, worker or epoch that the event concerns.
  std::string mSubject;
  /// Further values as "key=value" pairs separated by spaces.
  std::string mDetail;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;
};

/// @returns the value of a key in the detail of a record; empty if it has none. A value ends at the
/// next key.
std::string
DetailOf(const LogRecord& aRecord, const std::string& aKey);

/// @returns whether a record is of a job, or of one of its steps, tasks or runs.
bool
IsOfJob(const LogRecord& aRecord, const std::string& aJob);

/// @returns whether a record tells what all jobs of the cell are exposed to: a change of the owner,
/// an outage of the store or an overload.
bool
IsOfCell(const LogRecord& aRecord);

} // namespace by
