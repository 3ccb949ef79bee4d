#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

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

  explicit LinkConnection(boost::asio::ip::tcp::socket aSocket);

  /// Reads messages until the connection ends.
  void Start(Received aReceived, Closed aClosed);
  /// Queues a message; a queue that is full ends the connection. Messages that one handler of the
  /// io_context sends leave in one write.
  void Send(const LinkMessage& aMessage);
  /// Ends the connection; Closed is not called.
  void Close();

private:
  void Read();
  void TakeMessages();
  void Write();
  void Fail();

  boost::asio::ip::tcp::socket mSocket;
  Received mReceived;
  Closed mClosed;
  ReceiveBuffer mInput;
  /// Messages that wait for the current write to end, and how many they are.
  std::string mQueue;
  std::size_t mQueued{ 0 };
  std::string mWritten;
  bool mWriting{ false };
};

} // namespace by::detail
