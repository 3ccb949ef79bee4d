#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "by_core/Time.h"

namespace by {

/// What a node knows of configurations at other nodes.
struct ConfigExchangeState
{
  /// Whether heartbeats name the version in force: from the first configuration with teams on.
  bool mIsAnnounced{ false };
  /// The highest version that another node has named, and when one first did; zero for none.
  std::uint64_t mNewestVersion{ 0 };
  Time mNewestSince{};
  /// Since when another node has been known to have a higher version; Never() while none is.
  Time mBehindSince{ Time::Never() };
  /// When another node is next asked for the configuration; Never() while none is needed.
  Time mNextRequest{ Time::Never() };
  /// The node that was asked last; empty if none was.
  std::string mAskedNode;

  /// The version that the owner has named over the current link; zero for none.
  std::uint64_t mOwnerVersion{ 0 };
  /// The highest version that an owner with access to the store named as its own, and when it was
  /// last confirmed to that owner.
  std::uint64_t mConfirmedVersion{ 0 };
  Time mOwnerConfirmedAt{};

  /// Members that asked for the configuration and have not been sent it, in order of their
  /// requests.
  std::vector<std::string> mAskers;
  /// When the configuration may be sent to the next of them.
  Time mNextAnswer{};
};

} // namespace by
