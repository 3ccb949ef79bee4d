#pragma once

#include <cstdint>
#include <string>

#include "by_core/Time.h"
#include "by_schema/SubmitBody.h"

namespace by::load {

/// One request of a caller.
struct LoadRequest
{
  std::uint64_t mNumber{ 0 };
  /// The index of the team in the settings.
  std::size_t mTeam{ 0 };
  /// What is sent; the label is its own but for the twin's.
  SubmitBody mBody;
  /// Whether a second caller sends the same request through another node at the same time.
  bool mHasTwin{ false };

  friend bool operator==(const LoadRequest&, const LoadRequest&) = default;
  friend auto operator<=>(const LoadRequest&, const LoadRequest&) = default;
};

/// Draws a request; the same seed and number give the same one.
LoadRequest
MakeRequest(std::uint64_t aSeed,
            const std::string& aRun,
            std::uint64_t aNumber,
            std::size_t aTeams);

} // namespace by::load
