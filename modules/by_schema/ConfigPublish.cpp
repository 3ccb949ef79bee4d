#include "by_schema/ConfigPublish.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<ConfigPublish>
ConfigPublish::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "operator_name", static_cast<std::int64_t>(mFields.mOperatorName.size()), std::nullopt, 128);
    if (!status.ok()) {
      return status;
    }
  }
  return ConfigPublish(std::move(aFields));
}

} // namespace by
