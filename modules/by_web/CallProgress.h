#pragma once

namespace by {

/// How far a call has arrived.
enum class CallProgress
{
  /// Nothing of it has arrived.
  None,
  /// Its header is arriving.
  Header,
  /// Its header is complete, and its body or its trailers are arriving.
  Body,
  /// It is complete.
  Complete,
  /// It is no call, or over a limit.
  Refused,
};

} // namespace by
