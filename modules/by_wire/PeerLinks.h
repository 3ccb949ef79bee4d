#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_wire/WireHooks.h"

namespace by {

class NodeSettings;
class SendFrame;
class SendHeartbeat;

namespace detail {
class PeerLinksBody;
} // namespace detail

/// The links to the other entry nodes: heartbeats over UDP, frames over TCP.
///
/// Lives on one io_context; its methods may be called from any thread.
class PeerLinks
{
public:
  /// Opens the sockets that the settings name and starts to read.
  /// @param aContext runs all of the links' work.
  /// @returns the links, or Unavailable where a socket can't be opened.
  static absl::StatusOr<std::unique_ptr<PeerLinks>> Create(boost::asio::io_context& aContext,
                                                           const NodeSettings& aSettings,
                                                           WireHooks aHooks);

  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Sends a heartbeat to every peer.
  void Send(const SendHeartbeat& aEffect);

  /// Sends a frame to one peer; a frame that certainly did not leave is reported by
  /// PeerUnreachable.
  void Send(const SendFrame& aEffect);

  /// Closes every socket; to be called before the links are destroyed.
  void Stop();

  /// @returns the port that is bound.
  std::uint16_t Port() const;

private:
  explicit PeerLinks(std::shared_ptr<detail::PeerLinksBody> aBody);

  std::shared_ptr<detail::PeerLinksBody> mBody;
};

} // namespace by
