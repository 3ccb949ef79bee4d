#include "by_schema/RequestSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<RequestSettings>
RequestSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("max_attempts", static_cast<std::int64_t>(mFields.mMaxAttempts), 1, 10);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "retry_budget_percent", static_cast<std::int64_t>(mFields.mRetryBudgetPercent), 0, 100);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("answer_retention", mFields.mAnswerRetention.Milliseconds(), 1000, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("run_limit", mFields.mRunLimit.Milliseconds(), 100, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("plan_expiry", mFields.mPlanExpiry.Milliseconds(), 1000, 86400000);
    if (!status.ok()) {
      return status;
    }
  }
  return RequestSettings(std::move(aFields));
}

} // namespace by
