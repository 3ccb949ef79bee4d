#include "by_schema/BackendClientSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<BackendClientSettings>
BackendClientSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("lease_timeout", mFields.mLeaseTimeout.Milliseconds(), 10, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("run_timeout", mFields.mRunTimeout.Milliseconds(), 100, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("start_timeout", mFields.mStartTimeout.Milliseconds(), 10, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("command_timeout", mFields.mCommandTimeout.Milliseconds(), 10, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "start_connections", static_cast<std::int64_t>(mFields.mStartConnections), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "lease_connections", static_cast<std::int64_t>(mFields.mLeaseConnections), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "command_connections", static_cast<std::int64_t>(mFields.mCommandConnections), 1, 1000);
    if (!status.ok()) {
      return status;
    }
  }
  return BackendClientSettings(std::move(aFields));
}

} // namespace by
