#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// A node that has a link to this one.
struct MemberRow
{
  /// The number of the link; the node's next link has another.
  std::uint64_t mLink{ 0 };
  ZoneId mZone;
  /// The processor time that it may use. [millicores]
  std::uint32_t mProcessorShare{ 0 };
  /// When the link was established, and when its last message arrived.
  Time mLinkedAt{};
  Time mHeardAt{};
  /// The version of the configuration that the node has named over this link; zero for none.
  std::uint64_t mConfigVersion{ 0 };
  /// The version that was last sent over this link, and when; zero for none.
  std::uint64_t mSentConfig{ 0 };
  Time mConfigSentAt{};

  friend bool operator==(const MemberRow&, const MemberRow&) = default;
  friend auto operator<=>(const MemberRow&, const MemberRow&) = default;
};

} // namespace by
