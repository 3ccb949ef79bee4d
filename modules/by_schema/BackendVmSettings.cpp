#include "by_schema/BackendVmSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<BackendVmSettings>
BackendVmSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("vm", static_cast<std::int64_t>(mFields.mVm.Text().size()), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("connections", static_cast<std::int64_t>(mFields.mConnections), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("usage_lag", mFields.mUsageLag.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return BackendVmSettings(std::move(aFields));
}

} // namespace by
