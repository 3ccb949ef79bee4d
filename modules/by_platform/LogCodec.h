#pragma once

#include <vector>

#include "absl/status/statusor.h"

#include "by_schema/AppendBody.h"
#include "by_schema/LogRead.h"
#include "by_schema/LogRecord.h"
#include "by_schema/ReadResult.h"

namespace by {

/// Encodes records for an append; secret fields are kept.
AppendBody
EncodeAppend(const std::vector<LogRecord>& aRecords);

/// Decodes one record.
/// @returns the record, or InvalidArgument with every finding.
absl::StatusOr<LogRecord>
DecodeRecord(const RawRecord& aRaw);

/// Decodes a piece of the log.
/// @returns an entry for each record; one that can't be decoded has a default record without an
/// id, so that offsets have no gaps.
LogRead
DecodeRead(const ReadResult& aResult);

} // namespace by
