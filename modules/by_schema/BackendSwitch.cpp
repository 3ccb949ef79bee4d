#include "by_schema/BackendSwitch.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<BackendSwitch>
BackendSwitch::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "capacity_percent", static_cast<std::int64_t>(mFields.mCapacityPercent), std::nullopt, 100);
    if (!status.ok()) {
      return status;
    }
  }
  return BackendSwitch(std::move(aFields));
}

} // namespace by
