#pragma once

#include <string_view>

#include "absl/status/statusor.h"

#include "by_trace/LogRecord.h"

namespace by::detail {

/// @returns whether a line may hold a record of the cell, without decoding it.
bool
MayBeOfCell(std::string_view aLine);

/// Reads a line of a node's log. A collector may have put a prefix before the record.
/// @returns the record, NotFound if the line holds none, or DataLoss if it is truncated or damaged.
absl::StatusOr<LogRecord>
ReadLogRecord(std::string_view aLine);

} // namespace by::detail
