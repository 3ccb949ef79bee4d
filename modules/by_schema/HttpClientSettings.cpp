#include "by_schema/HttpClientSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<HttpClientSettings>
HttpClientSettings::Create(Fields aFields)
{
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
    auto status =
      CheckRange("max_waiting", static_cast<std::int64_t>(mFields.mMaxWaiting), 0, 1000000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "response_limit", static_cast<std::int64_t>(mFields.mResponseLimit), 1024, 1073741824);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("idle_timeout", mFields.mIdleTimeout.Milliseconds(), 10, 600000);
    if (!status.ok()) {
      return status;
    }
  }
  return HttpClientSettings(std::move(aFields));
}

} // namespace by
