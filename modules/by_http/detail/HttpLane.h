#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_schema/TeamTokens.h"

namespace by::detail {

class HttpSession;

/// What belongs to one traffic thread; touched on that thread only.
struct HttpLane
{
  /// The thread's io_context.
  boost::asio::io_context* mContext{ nullptr };
  /// The thread's place among the traffic threads.
  std::size_t mIndex{ 0 };
  /// The teams' tokens in force.
  std::shared_ptr<const TeamTokens> mTokens;
  /// Connections that wait for a caller's answer.
  absl::flat_hash_map<RequestId, std::weak_ptr<HttpSession>> mRequests;
  /// Connections that wait for the reply to an operator's call.
  absl::flat_hash_map<std::uint64_t, std::weak_ptr<HttpSession>> mCalls;
  /// All connections.
  absl::flat_hash_map<const HttpSession*, std::weak_ptr<HttpSession>> mSessions;
  /// Connections without a call; the one that has been without for longest comes first.
  std::list<HttpSession*> mIdle;
  /// Bytes that calls which are arriving hold.
  std::size_t mCallBytes{ 0 };
  /// Takes what has arrived at one connection; an idle connection needs no memory to read into.
  std::array<char, 4096> mArrived{};
};

} // namespace by::detail
