#pragma once

namespace by {

/// What a connection does, which says how long it may take.
enum class ConnectionPhase
{
  /// It has not begun to read.
  New,
  /// It has no call.
  Idle,
  /// The header of a call is arriving.
  Header,
  /// The body or the trailers of a call are arriving.
  Body,
  /// The call is complete and waits for its answer.
  Open,
  /// The call waits for its answer, and the caller has ended its sending half.
  HalfClosed,
  /// The answer is being sent.
  Answering,
  /// The last answer is sent, and the caller has yet to close its side.
  Lingering,
  Closed,
};

/// @returns whether calls are read.
inline bool
IsReading(ConnectionPhase aPhase)
{
  return aPhase == ConnectionPhase::Idle || aPhase == ConnectionPhase::Header ||
         aPhase == ConnectionPhase::Body;
}

} // namespace by
