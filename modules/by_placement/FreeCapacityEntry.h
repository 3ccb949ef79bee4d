#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// A VM in an index ordered by free capacity.
struct FreeCapacityEntry
{
  /// The free amount that the index is ordered by.
  std::int64_t mFirst{ 0 };
  /// The free amount of the other resource, so that a search need not look up the VM.
  std::int64_t mSecond{ 0 };
  /// The VM, which also orders entries with equal amounts.
  VmId mVm;

  friend bool operator==(const FreeCapacityEntry&, const FreeCapacityEntry&) = default;
  friend auto operator<=>(const FreeCapacityEntry&, const FreeCapacityEntry&) = default;
};

} // namespace by
