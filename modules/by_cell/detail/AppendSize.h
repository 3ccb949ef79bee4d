#pragma once

#include <cstddef>
#include <vector>

#include "by_schema/KeyedRecord.h"

namespace by::detail {

/// @returns about how much a record takes up in an append. [bytes]
std::size_t
EstimateRecordSize(const KeyedRecord& aRecord);

/// Splits records that do not fit into one append. Their order is kept, and each part holds at
/// least one record.
/// @param aLimit the size of a part. [bytes]
std::vector<std::vector<KeyedRecord>>
SplitRecords(std::vector<KeyedRecord> aRecords, std::size_t aLimit);

} // namespace by::detail
