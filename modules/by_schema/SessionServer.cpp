#include "by_schema/SessionServer.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<SessionServer>
SessionServer::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status = CheckRange("call_delay", mFields.mCallDelay.Milliseconds(), 0, std::nullopt);
    if (!status.ok()) {
      return status;
    }
  }
  return SessionServer(std::move(aFields));
}

} // namespace by
