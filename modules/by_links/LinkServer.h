#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "absl/status/statusor.h"

#include "by_links/LinkDirection.h"
#include "by_schema/Endpoint.h"
#include "by_schema/LinkMessage.h"

namespace by {

namespace detail {
class LinkConnection;
}

/// Takes the links that other nodes open to this one.
///
/// Everything runs on the thread that runs the io_context.
class LinkServer : public std::enable_shared_from_this<LinkServer>
{
public:
  /// Told that a node has named itself on a link, or that its link is over. Links are numbered in
  /// the order in which their nodes named themselves.
  using Changed = std::function<void(const std::string&, std::uint64_t aLink, bool aUp)>;
  /// Told of the messages of one read from a node, in their order; the first of all names the node.
  using Received =
    std::function<void(const std::string&, std::uint64_t aLink, std::vector<LinkMessage>)>;

  /// Told of messages that were received or are being sent, and their bytes on the wire.
  using Counted = std::function<void(LinkDirection, std::size_t aMessages, std::size_t aBytes)>;

  /// Listens.
  /// @returns the server, or Unavailable where the port can't be had.
  static absl::StatusOr<std::shared_ptr<LinkServer>> Create(boost::asio::io_context& aContext,
                                                            const Endpoint& aListen,
                                                            Changed aChanged,
                                                            Received aReceived,
                                                            Counted aCounted);

  /// Sends a message to a node over one of its links. A later link of the node may lead to another
  /// process, which the message is not meant for.
  /// @returns whether the link is still the node's; otherwise the message is dropped.
  bool Send(const std::string& aNode, std::uint64_t aLink, const LinkMessage& aMessage);
  /// Stops listening and closes all links.
  void Close();
  /// @returns the port on which it listens.
  std::uint16_t Port() const { return mPort; }

private:
  LinkServer(boost::asio::io_context& aContext,
             Changed aChanged,
             Received aReceived,
             Counted aCounted);

  /// An open link whose node is known.
  struct NodeLink
  {
    std::uint64_t mNumber{ 0 };
    std::shared_ptr<detail::LinkConnection> mConnection;
  };
  /// The node that a connection leads to, and its number; the name is empty until it is known.
  struct Peer
  {
    std::string mNode;
    std::uint64_t mLink{ 0 };
  };

  absl::Status Listen(const Endpoint& aListen);
  void Accept();
  void Take(const std::shared_ptr<detail::LinkConnection>& aConnection,
            Peer& aPeer,
            std::vector<LinkMessage> aMessages);
  void Forget(const std::shared_ptr<detail::LinkConnection>& aConnection, const Peer& aPeer);

  boost::asio::ip::tcp::acceptor mAcceptor;
  Changed mChanged;
  Received mReceived;
  Counted mCounted;
  std::uint16_t mPort{ 0 };
  std::uint64_t mLastLink{ 0 };
  /// The links by their nodes' names.
  std::map<std::string, NodeLink> mLinks;
  /// All links.
  std::set<std::shared_ptr<detail::LinkConnection>> mOpen;
};

} // namespace by
