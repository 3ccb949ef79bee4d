#include "by_schema/JobDefinition.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<JobDefinition>
JobDefinition::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("steps", static_cast<std::int64_t>(mFields.mSteps.size()), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  return JobDefinition(std::move(aFields));
}

} // namespace by
