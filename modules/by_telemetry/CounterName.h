#pragma once

#include <cstddef>
#include <cstdint>

namespace by {

/// A counter; kCounterTexts tells what each counts.
enum class CounterName : std::uint8_t
{
  RequestsAdmitted,
  CallersGone,
  RequestsForwarded,
  RequestRetries,
  TaskStarts,
  TaskUnanswered,
  LogRecords,
  LogAppends,
  LogAppendFailures,
  LogReadFailures,
  LeaseRequests,
  LeaseFailures,
  HeartbeatsSent,
  HeartbeatsReceived,
  PeersUnreachable,
  ControlSentBytes,
  ControlReceivedBytes,
};

/// How many counters there are.
constexpr std::size_t kCounterNames = 17;

} // namespace by
