#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// How far a node is on its way to owning the cell.
enum class OwnerPhase : std::uint8_t
{
  /// It does not own the cell and does not try.
  Member,
  /// It reads the newest claim.
  ReadingClaim,
  /// It writes a claim of its own.
  Claiming,
  /// Its claim holds; it reads the cell.
  Loading,
  /// It owns the cell.
  Owner,
};

/// @returns the phase in a word for log lines.
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
