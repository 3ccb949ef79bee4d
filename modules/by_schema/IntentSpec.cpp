#include "by_schema/IntentSpec.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<IntentSpec>
IntentSpec::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("name", static_cast<std::int64_t>(mFields.mName.size()), 1, 128);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("team", static_cast<std::int64_t>(mFields.mTeam.Text().size()), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("tasks", static_cast<std::int64_t>(mFields.mTasks), 1, 10000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("kind", static_cast<std::int64_t>(mFields.mKind.size()), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("declared_length", mFields.mDeclaredLength.Milliseconds(), 0, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("max_attempts", static_cast<std::int64_t>(mFields.mMaxAttempts), 1, 100);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "payload", static_cast<std::int64_t>(mFields.mPayload.size()), std::nullopt, 65536);
    if (!status.ok()) {
      return status;
    }
  }
  return IntentSpec(std::move(aFields));
}

} // namespace by
