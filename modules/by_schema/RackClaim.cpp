#include "by_schema/RackClaim.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<RackClaim>
RackClaim::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("rack", static_cast<std::int64_t>(mFields.mRack.Text().size()), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("node", static_cast<std::int64_t>(mFields.mNode.Text().size()), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return RackClaim(std::move(aFields));
}

} // namespace by
