#include "by_schema/VmDescription.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<VmDescription>
VmDescription::Create(Fields aFields)
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
      CheckRange("connections", static_cast<std::int64_t>(mFields.mConnections), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return VmDescription(std::move(aFields));
}

} // namespace by
