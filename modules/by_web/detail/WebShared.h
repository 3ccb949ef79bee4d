#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "by_schema/ConnectionLimits.h"
#include "by_web/Refusal.h"
#include "by_web/UnansweredCall.h"
#include "by_web/WebRequest.h"

namespace by {
class WebSession;
}

namespace by::detail {

/// What a server and its connections share; touched on the server's thread only.
struct WebShared
{
  /// Limits in force, all of them set.
  ConnectionLimits mLimits;
  /// Names of the headers that calls are given with.
  std::vector<std::string> mKeptHeaders;
  /// Told of each whole call.
  std::function<void(const WebRequest&, const std::shared_ptr<WebSession>&)> mHandler;
  /// Told of each whole call whose connection ended before its answer was handed to the kernel.
  std::function<void(const UnansweredCall&)> mUnanswered;
  /// Told of each call that was not read, and of each connection that a limit closed.
  std::function<void(Refusal)> mRefused;
  /// Told that a connection is closed.
  std::function<void(WebSession*)> mClosed;
  /// Told that calls which are arriving hold too many bytes.
  std::function<void()> mOutOfMemory;
  /// Bytes that calls which are arriving may hold, and those that they hold.
  std::size_t mCallBytesLimit{ 0 };
  std::size_t mCallBytes{ 0 };
  /// Connections without a call; the one that has been without for longest comes first.
  std::list<WebSession*> mIdle;
  /// Takes what has arrived at one connection; an idle connection needs no memory to read into.
  std::array<char, 4096> mArrived{};
};

} // namespace by::detail
