#pragma once

#include "absl/status/status.h"

namespace by {

/// The result of applying one entry of the log.
struct ApplyResult
{
  /// Whether the record took effect.
  bool mAccepted{ false };
  /// Whether the entry was folded, so that the next offset is expected now.
  bool mAdvanced{ false };
  /// Why the record took no effect: AlreadyExists for a repeat, OutOfRange for a gap before the
  /// entry, FailedPrecondition if another record came first.
  absl::Status mStatus;
};

} // namespace by
