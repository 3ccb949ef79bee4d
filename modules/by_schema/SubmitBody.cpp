#include "by_schema/SubmitBody.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<SubmitBody>
SubmitBody::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("label", static_cast<std::int64_t>(mFields.mLabel.size()), 1, 128);
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
    auto status = CheckRange("patience", mFields.mMaxWait.Milliseconds(), 1, 86400000);
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
  return SubmitBody(std::move(aFields));
}

} // namespace by
