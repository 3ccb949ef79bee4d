#include "by_schema/JobStep.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<JobStep>
JobStep::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("count", static_cast<std::int64_t>(mFields.mCount), 1, 100000);
    if (!status.ok()) {
      return status;
    }
  }
  return JobStep(std::move(aFields));
}

} // namespace by
