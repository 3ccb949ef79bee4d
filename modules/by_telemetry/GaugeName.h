#pragma once

#include <cstddef>
#include <cstdint>

namespace by {

/// A gauge; kGaugeTexts tells what each shows.
enum class GaugeName : std::uint8_t
{
  Ready,
  LogOffset,
  LogReadAge,
  ConfigVersion,
  RacksOwned,
  LeasesHeld,
  VmsSetAside,
  MembersAlive,
  QueueLength,
  RequestsHeld,
};

/// How many gauges there are.
constexpr std::size_t kGaugeNames = 10;

} // namespace by
