#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// What the owner of a cell knows of a team at one time.
struct TeamSample
{
  TeamId mTeam{};
  std::int64_t mWeight{ 0 };
  /// The share of the capacity that the team is entitled to beside the teams that have work, in
  /// thousandths.
  std::int64_t mEntitledPermille{ 0 };
  /// An amount of zero is no limit.
  Resources mQuota{};
  /// The demand of its runs on all workers, also of those that are being stopped.
  Resources mUsage{};
  /// Steps that wait for capacity or quota.
  std::uint64_t mWaitingSteps{ 0 };
  /// Jobs that are accepted and have not ended.
  std::uint64_t mOpenJobs{ 0 };

  friend bool operator==(const TeamSample&, const TeamSample&) = default;
  friend auto operator<=>(const TeamSample&, const TeamSample&) = default;
};

} // namespace by
