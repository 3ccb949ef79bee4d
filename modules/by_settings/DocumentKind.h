#pragma once

#include <cstdint>

namespace by {

/// What a file holds.
enum class DocumentKind : std::uint8_t
{
  /// The settings of one node: NodeSettings.
  NodeSettings,
  /// A configuration for the whole system: ConfigDocument.
  Config,
};

} // namespace by
