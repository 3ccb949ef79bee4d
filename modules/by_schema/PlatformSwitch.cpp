#include "by_schema/PlatformSwitch.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<PlatformSwitch>
PlatformSwitch::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("slow_ms", static_cast<std::int64_t>(mFields.mSlowMs), 0, 600000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("lose_append_answers",
                             static_cast<std::int64_t>(mFields.mLoseAppendAnswers),
                             0,
                             std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return PlatformSwitch(std::move(aFields));
}

} // namespace by
