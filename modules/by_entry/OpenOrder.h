#pragma once

#include <compare>
#include <string>
#include <variant>

#include "by_core/Time.h"
#include "by_schema/PollWorker.h"
#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"

namespace by {

/// An order that another node relays and whose answer has not arrived.
struct OpenOrder
{
  /// The node that relays it.
  std::string mRelay;
  /// When it counts as unanswered.
  Time mDeadline{};
  /// What to do without an answer: a poll is sent through another relay, since repeating it is
  /// harmless; a start or stop, which may still be carried out, is reported as unanswered.
  std::variant<PollWorker, StartAnswered, StopAnswered> mWithoutAnswer;

  friend bool operator==(const OpenOrder&, const OpenOrder&) = default;
  friend auto operator<=>(const OpenOrder&, const OpenOrder&) = default;
};

} // namespace by
