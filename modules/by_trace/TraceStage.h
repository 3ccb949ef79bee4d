#pragma once

#include <compare>
#include <string>

#include "by_core/Time.h"

namespace by {

/// A stage that a job reached, and when it first did.
struct TraceStage
{
  std::string mName;
  Time mAt;
  std::string mNode;

  friend bool operator==(const TraceStage&, const TraceStage&) = default;
  friend auto operator<=>(const TraceStage&, const TraceStage&) = default;
};

} // namespace by
