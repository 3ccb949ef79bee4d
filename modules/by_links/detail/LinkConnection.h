#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "by_schema/LinkMessage.h"
#include "by_wire/LengthPrefix.h"

namespace by::detail {

/// One open connection between two nodes; both sides send messages with their length before them.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
  /// Told of each message.
  using Received = std::function<void(const LinkMessage&)>;
  /// Told once that the connection is over.
  using Closed = std::function<void()>;

  explicit LinkConnection(boost::asio::ip::tcp::socket aSocket);

  /// Reads messages until the connection ends.
  void Start(Received aReceived, Closed aClosed);
  /// Queues a message; a queue that is full ends the connection.
  void Send(const LinkMessage& aMessage);
  /// Ends the connection; Closed is not called.
  void Close();

private:
  void ReadLength();
  void ReadBody(std::size_t aLength);
  void WriteNext();
  void Fail();

  boost::asio::ip::tcp::socket mSocket;
  Received mReceived;
  Closed mClosed;
  std::array<unsigned char, kLengthSize> mLength{};
  std::string mBody;
  std::deque<std::string> mQueue;
  std::string mWritten;
  bool mWriting{ false };
};

} // namespace by::detail
