#include "by_schema/NodeSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<NodeSettings>
NodeSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("node", static_cast<std::int64_t>(mFields.mNode.Text().size()), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("traffic_threads", static_cast<std::int64_t>(mFields.mTrafficThreads), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  return NodeSettings(std::move(aFields));
}

} // namespace by
