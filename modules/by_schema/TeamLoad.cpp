#include "by_schema/TeamLoad.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<TeamLoad>
TeamLoad::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "admitted_permille", static_cast<std::int64_t>(mFields.mAdmittedPermille), 0, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  return TeamLoad(std::move(aFields));
}

} // namespace by
