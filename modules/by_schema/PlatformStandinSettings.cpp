#include "by_schema/PlatformStandinSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<PlatformStandinSettings>
PlatformStandinSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("append_rate", static_cast<std::int64_t>(mFields.mAppendRate), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("retention", mFields.mRetention.Milliseconds(), 10, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "retention_count", static_cast<std::int64_t>(mFields.mRetentionCount), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("list_lag", mFields.mListLag.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return PlatformStandinSettings(std::move(aFields));
}

} // namespace by
