#include "by_schema/ConfigDocument.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<ConfigDocument>
ConfigDocument::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange(
      "short_reserve_percent", static_cast<std::int64_t>(mFields.mShortReservePercent), 0, 90);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("short_limit", mFields.mShortLimit.Milliseconds(), 1, 3600000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("queue_limit", static_cast<std::int64_t>(mFields.mQueueLimit), 1, 1000000);
    if (!status.ok()) {
      return status;
    }
  }
  return ConfigDocument(std::move(aFields));
}

} // namespace by
