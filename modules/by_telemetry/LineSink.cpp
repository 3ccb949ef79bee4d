#include "by_telemetry/LineSink.h"

#include <fcntl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

/// Lines gather up to this size before they are handed on.
constexpr std::size_t kFlushAt = 4096;

} // namespace

LineSink::LineSink(int aDescriptor, std::size_t aLimit)
  : mDescriptor(aDescriptor)
  , mLimit(aLimit)
{
  const int flags = fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
LineSink::Write(std::string_view aLine)
{
  if (mBuffer.size() + aLine.size() + 1 > mLimit) {
    Flush();
  }
  if (mBuffer.size() + aLine.size() + 1 > mLimit) {
    ++mDropped;
    return;
  }
  if (mDropped > mToldDropped) {
    absl::StrAppend(
      &mBuffer, R"({"event":"log.dropped","detail":"lines=)", mDropped - mToldDropped, "\"}\n");
    mToldDropped = mDropped;
  }
  mBuffer.append(aLine);
  mBuffer.push_back('\n');
  if (mBuffer.size() >= kFlushAt) {
    Flush();
  }
}

void
LineSink::Flush()
{
  while (!mBuffer.empty()) {
    const auto n = ::write(mDescriptor, mBuffer.data(), mBuffer.size());
    if (n <= 0) {
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace by
