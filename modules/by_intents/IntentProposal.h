#pragma once

#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// A record for an intent that the controller proposed and that has not appeared in the log yet.
struct IntentProposal
{
  /// When the proposal was made.
  Time mAt;
  /// FoldedIntent::mAssignmentRecords at that time.
  std::uint64_t mAssignmentRecords{ 0 };
  /// The gang round that the proposal decides; zero for assignments.
  std::uint64_t mDecidedRound{ 0 };
};

} // namespace by
