#pragma once

#include "by_core/Time.h"

namespace by {

/// Chooses when the caller of a job that is refused during an outage should submit it again.
///
/// Load pattern: the store is away for seconds, and each caller repeats its submission a limited
/// number of times. Callers that come back every second have used up their attempts before the
/// outage ends. An outage that has lasted for a time is expected to last about as long again, so
/// the delay grows with its age. A job with little slack comes back sooner, since a later
/// submission is of no use to it.
/// @param aOutageAge how long the outage has lasted.
/// @param aSlack how much later the job may be accepted and still meet its objective.
Time
RetryDelayInOutage(Time aOutageAge, Time aSlack);

} // namespace by
