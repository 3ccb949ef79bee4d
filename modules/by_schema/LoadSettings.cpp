#include "by_schema/LoadSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<LoadSettings>
LoadSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("requests", static_cast<std::int64_t>(mFields.mRequests), 1, 10000000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("callers", static_cast<std::int64_t>(mFields.mCallers), 1, 10000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("duration", mFields.mDuration.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("call_timeout", mFields.mCallTimeout.Milliseconds(), 100, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("think_time", mFields.mThinkTime.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return LoadSettings(std::move(aFields));
}

} // namespace by
