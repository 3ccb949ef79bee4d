#include "by_entry/detail/ErrorRecovery.h"

#include <string>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Ownership.h"

namespace by::detail {

void
RecoverFromError(EntryState& aState, std::string_view aError, Time aNow, Effects& aOut)
{
  Log(aOut,
      "event.failed",
      aState.mSettings.Node(),
      absl::StrCat("error=",
                   std::string(aError),
                   " phase=",
                   std::string(ToString(aState.mPhase)),
                   " epoch=",
                   aState.mEpoch));
  aState.mJoinInFlight = false;
  aState.mConfirmInFlight = false;
  aState.mReturnAnswersAt = Time::Never();
  aState.mRelayedAnswers.clear();
  if (aState.mPhase != OwnerPhase::Member) {
    StepDown(aState, "unexpected error", aNow, aOut);
  }
}

} // namespace by::detail
