#include "by_schema/Endpoint.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<Endpoint>
Endpoint::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("port", static_cast<std::int64_t>(mFields.mPort), 0, 65535);
    if (!status.ok()) {
      return status;
    }
  }
  return Endpoint(std::move(aFields));
}

} // namespace by
