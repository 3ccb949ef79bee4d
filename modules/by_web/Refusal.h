#pragma once

namespace by {

/// Why a call was not read, or a connection was closed.
enum class Refusal
{
  /// The bytes are not HTTP.
  Malformed,
  /// The start line with all fields is over its limit.
  HeaderTooLarge,
  /// The body is over its limit.
  BodyTooLarge,
  /// Sizes and extensions of chunks or trailers are over their limit.
  FramingTooLarge,
  /// Calls that are arriving hold too much memory, and this one held the most.
  OutOfMemory,
  /// There is no room for a further connection.
  TooManyConnections,
  /// The header did not arrive in time.
  HeaderTimeout,
  /// The body did not arrive in time.
  BodyTimeout,
  /// The answer was not read in time.
  AnswerTimeout,
  /// No call arrived in time.
  IdleTimeout,
  /// The connection was idle for the longest time when a new one needed its room.
  GaveWay,
};

/// @returns the reason as it stands in logs and metrics.
const char*
ToString(Refusal aReason);

} // namespace by
