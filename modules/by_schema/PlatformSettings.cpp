#include "by_schema/PlatformSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<PlatformSettings>
PlatformSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("call_timeout", mFields.mCallTimeout.Milliseconds(), 10, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("list_interval", mFields.mListInterval.Milliseconds(), 50, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("read_wait", mFields.mReadWait.Milliseconds(), 10, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("append_budget", static_cast<std::int64_t>(mFields.mAppendBudget), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("batch_interval", mFields.mBatchInterval.Milliseconds(), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("retention", mFields.mRetention.Milliseconds(), 1000, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  return PlatformSettings(std::move(aFields));
}

} // namespace by
