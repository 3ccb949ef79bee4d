#pragma once

#include "absl/status/statusor.h"

#include "by_schema/AppendBody.h"
#include "by_schema/AppendResult.h"
#include "by_schema/PlatformStandinSettings.h"
#include "by_schema/ReadResult.h"
#include "platform/PlatformLog.h"

namespace by::standins {

/// Appends records, all or none.
/// @returns the first offset, or ResourceExhausted where the rate is used up.
absl::StatusOr<AppendResult>
Append(PlatformLog& aLog,
       const AppendBody& aBody,
       const PlatformStandinSettings& aSettings,
       Time aNow);

/// Removes the records that are too old or too many.
void
Expire(PlatformLog& aLog, const PlatformStandinSettings& aSettings, Time aNow);

/// Reads records from an offset, or from the lowest that is kept.
/// @param aLimit records at most.
ReadResult
Read(const PlatformLog& aLog, std::uint64_t aFrom, std::size_t aLimit);

} // namespace by::standins
