#pragma once

#include <compare>

#include "by_core/Identifier.h"
#include "by_http/CallerKind.h"

namespace by {

/// Who calls.
struct Caller
{
  /// What kind of caller it is.
  CallerKind mKind{ CallerKind::Nobody };
  /// The team; empty unless the caller is one.
  TeamId mTeam{};

  friend bool operator==(const Caller&, const Caller&) = default;
  friend auto operator<=>(const Caller&, const Caller&) = default;
};

} // namespace by
