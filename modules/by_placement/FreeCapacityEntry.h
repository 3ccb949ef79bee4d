#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// A VM in an order by free room.
struct FreeCapacityEntry
{
  /// What the order goes by.
  std::int64_t mFirst{ 0 };
  /// The other amount, so that a search need not look the VM up.
  std::int64_t mSecond{ 0 };
  /// The VM.
  VmId mVm;

  friend bool operator==(const FreeCapacityEntry&, const FreeCapacityEntry&) = default;
  friend auto operator<=>(const FreeCapacityEntry&, const FreeCapacityEntry&) = default;
};

} // namespace by
