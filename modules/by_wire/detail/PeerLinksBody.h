#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"

#include "by_schema/Heartbeat.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/SendFrame.h"
#include "by_wire/LengthPrefix.h"
#include "by_wire/WireHooks.h"

namespace by::detail {

class OutgoingLink;

/// The sockets behind PeerLinks; everything but the construction runs on its io_context.
class PeerLinksBody : public std::enable_shared_from_this<PeerLinksBody>
{
public:
  PeerLinksBody(boost::asio::io_context& aContext, NodeSettings aSettings, WireHooks aHooks);

  /// Binds the sockets and starts to read.
  absl::Status Open();
  /// Sends a datagram to every peer.
  void SendHeartbeats(const Heartbeat& aHeartbeat);
  /// Queues a frame on the link to its peer.
  void SendTo(const SendFrame& aEffect);
  /// Closes every socket.
  void Close();

  boost::asio::io_context& Context() { return mContext; }
  std::uint16_t Port() const { return mPort; }

private:
  struct Incoming
  {
    explicit Incoming(boost::asio::ip::tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    boost::asio::ip::tcp::socket mSocket;
    std::array<unsigned char, kLengthSize> mLength{};
    std::string mFrame;
  };

  void ReceiveDatagram();
  void Accept();
  void AcceptLater();
  void ReadLength(const std::shared_ptr<Incoming>& aIncoming);
  void ReadFrame(const std::shared_ptr<Incoming>& aIncoming, std::size_t aLength);
  void DeliverFrame(const std::string& aBytes);
  bool IsPeer(const NodeId& aNode) const;

  boost::asio::io_context& mContext;
  NodeSettings mSettings;
  WireHooks mHooks;
  boost::asio::ip::udp::socket mDatagrams;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptTimer;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mDatagram{};
  std::map<NodeId, std::shared_ptr<OutgoingLink>> mLinks;
  std::vector<std::weak_ptr<Incoming>> mIncoming;
  std::uint16_t mPort{ 0 };
  bool mClosed{ false };
};

} // namespace by::detail
