#include "by_schema/SessionTask.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<SessionTask>
SessionTask::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("label", static_cast<std::int64_t>(mFields.mLabel.size()), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("run_time", mFields.mRunTime.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("answer_delay", mFields.mAnswerDelay.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return SessionTask(std::move(aFields));
}

} // namespace by
