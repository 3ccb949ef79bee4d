#pragma once

#include <string>

namespace by {

/// A whole call whose connection ended before the whole answer was handed to the kernel.
struct UnansweredCall
{
  std::string mMethod;
  std::string mPath;
  /// What ended the connection.
  std::string mReason;

  friend bool operator==(const UnansweredCall&, const UnansweredCall&) = default;
  friend auto operator<=>(const UnansweredCall&, const UnansweredCall&) = default;
};

} // namespace by
