#pragma once

#include <string>

#include "by_core/Time.h"

namespace by {

/// What a node knows of handovers of the cell to a larger node.
struct HandoverState
{
  /// When the last handover was announced, by this node or by the owner that it follows; zero
  /// before the first.
  Time mAnnouncedAt{};
  /// At the owner, the member that was asked to claim the cell; empty while no handover is in
  /// progress.
  std::string mSuccessor;
  /// At the owner, the last successor that did not claim in time; empty if none failed.
  std::string mFailedSuccessor;
  /// At a member, until when the claim of the owner's successor is awaited; Never() while no
  /// handover is in progress.
  Time mAwaitedUntil{ Time::Never() };
  /// Whether the owner asked this node to claim the cell and the claim has not begun.
  bool mIsSuccessor{ false };
};

} // namespace by
