#include "by_schema/HttpCall.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<HttpCall>
HttpCall::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("timeout", mFields.mTimeout.Milliseconds(), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return HttpCall(std::move(aFields));
}

} // namespace by
