#include "by_schema/TeamConfig.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<TeamConfig>
TeamConfig::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("team", static_cast<std::int64_t>(mFields.mTeam.Text().size()), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("share", static_cast<std::int64_t>(mFields.mShare), 1, 1000000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("token", static_cast<std::int64_t>(mFields.mToken.size()), std::nullopt, 128);
    if (!status.ok()) {
      return status;
    }
  }
  return TeamConfig(std::move(aFields));
}

} // namespace by
