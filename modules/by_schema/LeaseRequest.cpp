#include "by_schema/LeaseRequest.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<LeaseRequest>
LeaseRequest::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("ttl", mFields.mTtl.Milliseconds(), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return LeaseRequest(std::move(aFields));
}

} // namespace by
