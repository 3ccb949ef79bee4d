#pragma once

#include <cstdint>

namespace by {

/// Which way messages go over a link.
enum class LinkDirection : std::uint8_t
{
  Received,
  Sent,
};

} // namespace by
