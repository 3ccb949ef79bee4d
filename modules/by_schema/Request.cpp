#include "by_schema/Request.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<Request>
Request::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("id", static_cast<std::int64_t>(mFields.mId.Text().size()), 1, std::nullopt);
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
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "payload", static_cast<std::int64_t>(mFields.mPayload.size()), std::nullopt, 16777216);
    if (!status.ok()) {
      return status;
    }
  }
  return Request(std::move(aFields));
}

} // namespace by
