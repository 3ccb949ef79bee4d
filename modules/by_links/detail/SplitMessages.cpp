#include "by_links/detail/SplitMessages.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "by_links/RecordCodec.h"
#include "by_wire/LengthPrefix.h"

namespace by::detail {

namespace {

/// Room for one read. [bytes]
constexpr std::size_t kReadSize = 16UL * 1024;

std::string_view
Undecoded(const ReceiveBuffer& aBuffer)
{
  return std::string_view(aBuffer.mBytes).substr(aBuffer.mBegin, aBuffer.mEnd - aBuffer.mBegin);
}

} // namespace

void
MakeRoom(ReceiveBuffer& aBuffer)
{
  const auto bytes = Undecoded(aBuffer);
  std::size_t wanted = bytes.size() + kReadSize;
  if (bytes.size() >= kLengthSize) {
    wanted = std::max<std::size_t>(wanted, kLengthSize + BigEndian(bytes.substr(0, kLengthSize)));
  }
  if (aBuffer.mBegin + wanted <= aBuffer.mBytes.size()) {
    return;
  }
  aBuffer.mBytes.erase(0, aBuffer.mBegin);
  aBuffer.mEnd -= std::exchange(aBuffer.mBegin, 0);
  aBuffer.mBytes.resize(wanted);
}

absl::Status
SplitMessages(ReceiveBuffer& aBuffer, std::vector<LinkMessage>& aOut)
{
  for (;;) {
    const auto bytes = Undecoded(aBuffer);
    if (bytes.size() < kLengthSize) {
      break;
    }
    const auto length = BigEndian(bytes.substr(0, kLengthSize));
    if (length > kMessageLimit) {
      return absl::InvalidArgumentError("message over the size limit");
    }
    if (bytes.size() - kLengthSize < length) {
      break;
    }
    auto message = DecodeMessage(bytes.substr(kLengthSize, length));
    if (!message.ok()) {
      return message.status();
    }
    aOut.push_back(*std::move(message));
    aBuffer.mBegin += kLengthSize + length;
  }
  if (aBuffer.mBegin == aBuffer.mEnd) {
    aBuffer.mBegin = 0;
    aBuffer.mEnd = 0;
  }
  return absl::OkStatus();
}

} // namespace by::detail
