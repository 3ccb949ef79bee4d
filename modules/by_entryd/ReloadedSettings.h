#pragma once

#include <functional>

#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/EntrySettings.h"

namespace by {

/// Settings that were read again while the process runs.
struct ReloadedSettings
{
  EntrySettings mEntry;
  /// How long a planned stop may take.
  Time mGrace;
  /// Whether something changed that only a new process takes up, such as an address.
  bool mNeedsRestart{ false };

  friend bool operator==(const ReloadedSettings&, const ReloadedSettings&) = default;
  friend auto operator<=>(const ReloadedSettings&, const ReloadedSettings&) = default;
};

/// Reads the settings again.
/// @returns them, or what is wrong with them.
using ReadSettings = std::function<absl::StatusOr<ReloadedSettings>()>;

} // namespace by
