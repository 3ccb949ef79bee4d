#pragma once

#include "absl/status/statusor.h"

#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/ConfigDocument.h"

namespace by {

/// Builds the policy that a configuration names.
///
/// Placement policies: best_fit, first_fit. Queueing policies: lanes; and, as baselines, fifo (one
/// queue in order of arrival, in which the first task blocks all others), shared_queue (one queue,
/// teams in order of their shares), declared_lanes (lanes by declared resources and run times).
/// @returns the policy, or InvalidArgument that lists every unknown name.
absl::StatusOr<SchedulingPolicy>
PolicyFrom(const ConfigDocument& aConfig);

} // namespace by
