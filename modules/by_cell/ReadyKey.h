#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_cell/Urgency.h"
#include "by_core/Time.h"

namespace by {

/// The order in which steps get room.
struct ReadyKey
{
  /// What finishing the job is still worth.
  Urgency mUrgency{ Urgency::OnTime };
  /// Zero comes first.
  std::uint32_t mPriority{ 0 };
  /// When its first task has to start at the latest for the job to meet its objective.
  Time mLatestStart{};
  std::string mJob;
  std::uint32_t mOccurrence{ 0 };
  std::uint32_t mStep{ 0 };

  friend bool operator==(const ReadyKey&, const ReadyKey&) = default;
  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

} // namespace by
