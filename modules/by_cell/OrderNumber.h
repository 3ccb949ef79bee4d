#pragma once

#include <cstdint>

namespace by {

/// The position of the epoch in the number of an order to a worker.
constexpr std::uint64_t kOrderEpochShift = 32;

/// @returns the number of an order, which its answer carries back, so that no answer to an order of
/// an earlier epoch passes for one of this epoch.
/// @param aSequence counts the orders that other nodes relay, from 1; zero for an order that the
/// owner sends itself.
constexpr std::uint64_t
OrderNumber(std::uint64_t aEpoch, std::uint64_t aSequence = 0)
{
  return (aEpoch << kOrderEpochShift) | aSequence;
}

/// @returns whether an order was relayed, by its number.
constexpr bool
IsRelayedOrder(std::uint64_t aNumber)
{
  return (aNumber & ((std::uint64_t{ 1 } << kOrderEpochShift) - 1)) != 0;
}

} // namespace by
