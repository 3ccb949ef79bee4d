#include "by_schema/HttpSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<HttpSettings>
HttpSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("body_limit", static_cast<std::int64_t>(mFields.mBodyLimit), 1024, 67108864);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("header_limit", static_cast<std::int64_t>(mFields.mHeaderLimit), 1024, 1048576);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("idle_timeout", mFields.mIdleTimeout.Milliseconds(), 100, 600000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("max_connections", static_cast<std::int64_t>(mFields.mMaxConnections), 1, 100000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "operator_token", static_cast<std::int64_t>(mFields.mOperatorToken.size()), 1, 128);
    if (!status.ok()) {
      return status;
    }
  }
  return HttpSettings(std::move(aFields));
}

} // namespace by
