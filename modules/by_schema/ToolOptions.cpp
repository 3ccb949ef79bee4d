#include "by_schema/ToolOptions.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<ToolOptions>
ToolOptions::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("timeout", mFields.mTimeout.Milliseconds(), 1, 604800000);
    if (!status.ok()) {
      return status;
    }
  }
  return ToolOptions(std::move(aFields));
}

} // namespace by
