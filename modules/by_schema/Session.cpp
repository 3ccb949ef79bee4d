#include "by_schema/Session.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<Session>
Session::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("end", mFields.mEnd.Milliseconds(), 1, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return Session(std::move(aFields));
}

} // namespace by
