#include "by_schema/PeerSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<PeerSettings>
PeerSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("node", static_cast<std::int64_t>(mFields.mNode.Text().size()), 1, 64);
    if (!status.ok()) {
      return status;
    }
  }
  return PeerSettings(std::move(aFields));
}

} // namespace by
