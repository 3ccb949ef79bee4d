#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// Which bucket a VM stands in.
struct VmBucketKey
{
  /// Free accelerators.
  std::int64_t mAccelerators{ 0 };
  /// Free slots, cut off at kMaxSlotBucket.
  std::int64_t mSlots{ 0 };

  friend bool operator==(const VmBucketKey&, const VmBucketKey&) = default;
  friend auto operator<=>(const VmBucketKey&, const VmBucketKey&) = default;
};

/// VMs with more free slots than this share one bucket.
inline constexpr std::int64_t kMaxSlotBucket = 16;

} // namespace by
