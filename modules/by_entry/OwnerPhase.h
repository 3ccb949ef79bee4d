#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// How far a node has come in acquiring the cell.
enum class OwnerPhase : std::uint8_t
{
  /// The node does not own the cell and is not claiming it.
  Member,
  /// The node is reading the newest claim.
  ReadingClaim,
  /// The node is writing its own claim.
  Claiming,
  /// The node's claim is stored and the node is loading the cell.
  Loading,
  /// The node owns the cell.
  Owner,
};

/// @returns the name of the phase for log lines.
constexpr std::string_view
ToString(OwnerPhase aPhase)
{
  switch (aPhase) {
    case OwnerPhase::Member:
      return "member";
    case OwnerPhase::ReadingClaim:
      return "reading_claim";
    case OwnerPhase::Claiming:
      return "claiming";
    case OwnerPhase::Loading:
      return "loading";
    case OwnerPhase::Owner:
      return "owner";
  }
  return "unknown";
}

} // namespace by
