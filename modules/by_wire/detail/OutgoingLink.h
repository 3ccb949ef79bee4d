#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "by_schema/Frame.h"
#include "by_schema/PeerSettings.h"
#include "by_wire/WireHooks.h"

namespace by::detail {

/// One TCP connection to a peer, opened when the first frame is sent.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
  OutgoingLink(boost::asio::io_context& aContext, PeerSettings aPeer, const WireHooks& aHooks);

  /// Queues a frame; when the queue is full the frame is reported as unsent.
  void Send(const Frame& aFrame);
  /// Closes the connection; queued frames are dropped.
  void Close();

private:
  struct Queued
  {
    RequestId mRequest;
    std::string mBytes;
  };

  void Connect();
  void WatchForClose(std::uint64_t aTry);
  void WriteNext();
  void Fail();
  void ReportUnsent(const std::deque<Queued>& aUnsent);

  boost::asio::io_context& mContext;
  PeerSettings mPeer;
  const WireHooks& mHooks;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mConnectTimer;
  std::deque<Queued> mQueue;
  std::array<char, 16> mUnexpected{};
  std::uint64_t mTry{ 0 };
  bool mConnected{ false };
  bool mConnecting{ false };
  bool mWriting{ false };
};

} // namespace by::detail
