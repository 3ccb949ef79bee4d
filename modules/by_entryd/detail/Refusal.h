#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace by::detail {

/// Calls that were refused for one of the reasons that concern teams.
struct Refusal
{
  /// One of kRefusalReasons.
  std::string_view mReason;
  /// Empty if the line names no team.
  std::string mTeam;
  std::int64_t mCount{ 0 };

  friend bool operator==(const Refusal&, const Refusal&) = default;
  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

/// The values of the label "reason".
inline constexpr std::string_view kRefusalReasons[] = { "unauthorized",
                                                        "unconfirmed",
                                                        "quota",
                                                        "rate" };

} // namespace by::detail
