#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "by_links/LinkDirection.h"
#include "by_links/detail/ReceiveBuffer.h"
#include "by_schema/LinkMessage.h"

namespace by::detail {

/// One open connection between two nodes; both sides send messages with their length before them.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
  /// Told of the messages of one read, in their order; never empty.
  using Received = std::function<void(std::vector<LinkMessage>)>;
  /// Told once that the connection is over.
  using Closed = std::function<void()>;

  /// Told of messages that were received or are being sent, and their bytes on the wire. Bytes are
  /// counted as they arrive, which may be before their message is whole.
  using Counted = std::function<void(LinkDirection, std::size_t aMessages, std::size_t aBytes)>;

  /// @param aCounted may be empty.
  explicit LinkConnection(boost::asio::ip::tcp::socket aSocket, Counted aCounted = nullptr);

  /// Reads messages until the connection ends.
  void Start(Received aReceived, Closed aClosed);
  /// Queues a message; a queue that is full ends the connection. Messages that one handler of the
  /// io_context sends leave in one write.
  void Send(const LinkMessage& aMessage);
  /// Ends the connection after what is queued and can leave at once; Closed is not called.
  void Close();

private:
  void Read();
  void TakeMessages(std::size_t aReceived);
  void Write();
  void Fail();
  void Count(LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes) const;

  boost::asio::ip::tcp::socket mSocket;
  Received mReceived;
  Closed mClosed;
  Counted mCounted;
  ReceiveBuffer mInput;
  /// Messages that wait for the current write to end, and how many they are.
  std::string mQueue;
  std::size_t mQueued{ 0 };
  std::string mWritten;
  bool mWriting{ false };
};

} // namespace by::detail
