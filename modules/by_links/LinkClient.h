#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "by_links/LinkDirection.h"
#include "by_schema/Endpoint.h"
#include "by_schema/LinkMessage.h"

namespace by {

namespace detail {
class LinkConnection;
}

/// The link from this node to the owner of the cell.
///
/// Everything runs on the thread that runs the io_context.
class LinkClient : public std::enable_shared_from_this<LinkClient>
{
public:
  /// Told that the link to a peer is up or down, and whether the peer's machine refused it. Each
  /// connection has a number of its own.
  using Changed =
    std::function<void(const Endpoint&, std::uint64_t aLink, bool aUp, bool aRefused)>;
  /// Told of the messages of one read from the peer, in their order.
  using Received = std::function<void(std::uint64_t aLink, std::vector<LinkMessage>)>;

  /// Told of messages that were received or are being sent, and their bytes on the wire.
  using Counted = std::function<void(LinkDirection, std::size_t aMessages, std::size_t aBytes)>;

  /// @param aContext runs the link; outlives it.
  static std::shared_ptr<LinkClient> Create(boost::asio::io_context& aContext,
                                            Changed aChanged,
                                            Received aReceived,
                                            Counted aCounted);

  /// Closes the open link and opens one to another peer.
  /// @param aPeer port 0 only closes.
  void Connect(const Endpoint& aPeer);
  /// Sends a message over one link.
  /// @returns whether the link is still up; otherwise the message is dropped.
  bool Send(std::uint64_t aLink, const LinkMessage& aMessage);
  /// Closes the link.
  void Close();

private:
  LinkClient(boost::asio::io_context& aContext,
             Changed aChanged,
             Received aReceived,
             Counted aCounted);

  boost::asio::io_context& mContext;
  Changed mChanged;
  Received mReceived;
  Counted mCounted;
  boost::asio::steady_timer mTimer;
  Endpoint mPeer;
  /// The number of the last attempt to connect, which is that of its link.
  std::uint64_t mTry{ 0 };
  std::shared_ptr<detail::LinkConnection> mConnection;
};

} // namespace by
