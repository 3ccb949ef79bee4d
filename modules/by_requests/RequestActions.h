#pragma once

#include <vector>

#include "by_scheduling/ScheduleOutcome.h"
#include "by_schema/NodeEffect.h"
#include "by_schema/RequestClaim.h"

namespace by {

/// The actions that follow from decisions on requests.
struct RequestActions
{
  /// Answers, frames and task starts to send.
  std::vector<NodeEffect> mEffects;
  /// Claims and releases to append to the log, to be batched with others.
  std::vector<RequestClaim> mClaims;
  /// Scheduling outcomes, which may also concern other work. The node passes each part on to the
  /// code that handles it.
  std::vector<ScheduleOutcome> mOutcomes;
};

} // namespace by
