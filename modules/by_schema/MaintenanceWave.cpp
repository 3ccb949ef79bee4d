#include "by_schema/MaintenanceWave.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<MaintenanceWave>
MaintenanceWave::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("limit", static_cast<std::int64_t>(mFields.mLimit), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return MaintenanceWave(std::move(aFields));
}

} // namespace by
