#include "by_schema/UpkeepWave.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<UpkeepWave>
UpkeepWave::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("limit", static_cast<std::int64_t>(mFields.mLimit), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return UpkeepWave(std::move(aFields));
}

} // namespace by
