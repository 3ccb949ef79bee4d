#include "by_schema/TaskStart.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<TaskStart>
TaskStart::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("task", static_cast<std::int64_t>(mFields.mTask.Text().size()), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return TaskStart(std::move(aFields));
}

} // namespace by
