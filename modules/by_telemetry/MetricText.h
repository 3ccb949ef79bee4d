#pragma once

#include <string_view>

namespace by {

/// A metric's name, without the project's prefix, and its help text.
struct MetricText
{
  std::string_view mName;
  std::string_view mHelp;
};

} // namespace by
