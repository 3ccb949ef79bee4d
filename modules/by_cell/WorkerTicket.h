#pragma once

#include <compare>
#include <string>

#include "by_core/Time.h"

namespace by {

/// The permission of a worker's process to run a step.
struct WorkerTicket
{
  /// What the start has to carry.
  std::string mText;
  /// When it expires.
  Time mValidUntil{};
  /// When the process that it is valid for started; the worker's next process needs another one.
  Time mProcessStart{};

  friend bool operator==(const WorkerTicket&, const WorkerTicket&) = default;
  friend auto operator<=>(const WorkerTicket&, const WorkerTicket&) = default;
};

} // namespace by
