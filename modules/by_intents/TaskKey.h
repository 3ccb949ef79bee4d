#pragma once

#include <compare>
#include <cstdint>
#include <utility>

#include "by_core/Identifier.h"

namespace by {

/// Identifies one task of one intent.
struct TaskKey
{
  /// The intent that the task belongs to.
  IntentId mIntent;
  /// The task's index, from 0.
  std::int64_t mIndex{ 0 };

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

  /// Hash support for Abseil containers.
  template<class H>
  friend H AbslHashValue(H aState, const TaskKey& aValue)
  {
    return H::combine(std::move(aState), aValue.mIntent, aValue.mIndex);
  }
};

} // namespace by
