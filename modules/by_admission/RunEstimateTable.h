#pragma once

#include "absl/container/flat_hash_map.h"

#include "by_admission/KindKey.h"
#include "by_schema/LengthEstimate.h"

namespace by {

/// What was learned of each kind of work of each team.
struct RunEstimateTable
{
  /// All rows, bounded by kMaxKinds.
  absl::flat_hash_map<KindKey, LengthEstimate> mRows;
};

/// Kinds beyond this number are not learned; they are treated by what they declare.
inline constexpr std::size_t kMaxKinds = 20'000;

} // namespace by
