#pragma once

#include <string>
#include <string_view>

#include "by_cell/Effects.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_entry/EntryState.h"
#include "by_entry/detail/KeyCheck.h"

namespace by::detail {

/// The decision about the key of a call.
struct CallerIdentity
{
  KeyCheck mCheck{ KeyCheck::Passed };
  /// The team of the caller; empty if the queue needs no key.
  TeamId mTeam;

  friend bool operator==(const CallerIdentity&, const CallerIdentity&) = default;
  friend auto operator<=>(const CallerIdentity&, const CallerIdentity&) = default;
};

/// @returns when the configuration in force was last known to be the newest one.
Time
ConfigConfirmedAt(const EntryState& aState);

/// Decides about the key of a call to a queue. A node that the store turns away may miss a
/// configuration that withdraws or adds keys, so it refuses what it can't judge.
CallerIdentity
Authenticate(const EntryState& aState, const QueuePolicy& aQueue, std::string_view aKey, Time aNow);

/// Counts a call that is refused because of its key for the next report.
/// @param aPath the path of the call.
void
CountRefusal(EntryState& aState, KeyCheck aCheck, const std::string& aPath);

/// Reports refused calls in one log line, at most once per second: anyone can cause them.
void
ReportKeyRefusals(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
