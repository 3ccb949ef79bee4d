#include "by_schema/SessionEvent.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<SessionEvent>
SessionEvent::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("at", mFields.mAt.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return SessionEvent(std::move(aFields));
}

} // namespace by
