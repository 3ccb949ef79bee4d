#pragma once

#include <string>

#include "by_schema/KeyedRecord.h"

namespace by::detail {

/// @returns the job that a record accepts or whose progress or crashes it describes; nullptr for a
/// deletion and for any other record.
const std::string*
JobOfRecord(const KeyedRecord& aRecord);

} // namespace by::detail
