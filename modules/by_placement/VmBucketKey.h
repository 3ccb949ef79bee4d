#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// The free amounts that assign a VM to a bucket.
struct VmBucketKey
{
  /// Number of free accelerators.
  std::int64_t mAccelerators{ 0 };
  /// Number of free slots, at most kMaxSlotBucket.
  std::int64_t mSlots{ 0 };

  friend bool operator==(const VmBucketKey&, const VmBucketKey&) = default;
  friend auto operator<=>(const VmBucketKey&, const VmBucketKey&) = default;
};

/// VMs with at least this many free slots share a bucket.
inline constexpr std::int64_t kMaxSlotBucket = 16;

} // namespace by
