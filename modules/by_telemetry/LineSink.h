#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace by {

/// Writes whole lines to a descriptor without ever waiting for its reader.
///
/// Lines gather in a bounded buffer; what the reader does not take in time is dropped, and the next
/// line that fits says how many were. For use from one thread. House style asks for log4cxx; its
/// appenders either block or need a thread of their own, which small VMs pay for.
class LineSink
{
public:
  /// @param aDescriptor where lines go; it is made non-blocking.
  /// @param aLimit bytes that wait at most.
  LineSink(int aDescriptor, std::size_t aLimit);

  /// Adds a line; the line break is added to it.
  void Write(std::string_view aLine);
  /// Hands the reader what it takes now.
  void Flush();
  /// @returns how many lines were dropped so far.
  std::uint64_t Dropped() const { return mDropped; }
  /// @returns bytes that wait.
  std::size_t Waiting() const { return mBuffer.size(); }

private:
  int mDescriptor;
  std::size_t mLimit;
  std::string mBuffer;
  std::uint64_t mDropped{ 0 };
  std::uint64_t mToldDropped{ 0 };
};

} // namespace by
