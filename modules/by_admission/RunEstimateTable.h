#pragma once

#include "absl/container/flat_hash_map.h"

#include "by_admission/KindKey.h"
#include "by_schema/LengthEstimate.h"

namespace by {

/// The estimates for each kind of work of each team.
struct RunEstimateTable
{
  /// The estimates, at most kMaxKinds.
  absl::flat_hash_map<KindKey, LengthEstimate> mRows;
};

/// Maximum number of kinds of work with estimates. Further kinds are scheduled by their declared
/// values.
inline constexpr std::size_t kMaxKinds = 20'000;

} // namespace by
