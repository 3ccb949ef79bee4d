#pragma once

#include <compare>
#include <string>

#include "by_core/Time.h"

namespace by {

/// What is known of a run whose worker crashed.
struct RunAtCrash
{
  /// The job that it belongs to. A job fails as a whole, so its runs need not be told apart.
  std::string mJob;
  /// How long after its start the worker still answered.
  Time mSurvived{};
  /// How long after its start the worker had fallen silent.
  Time mSilentAfter{};
  /// How long a run of this task has to go on before it counts as harmless.
  Time mProbation{};
  /// Whether its task was suspected before, so that the run was a trial.
  bool mIsTrial{ false };
  /// Whether its worker was known to be alive when the start was sent, or confirmed it.
  bool mHasStarted{ false };
  /// Whether its worker confirmed that it had started.
  bool mIsConfirmed{ false };
  /// Whether its lease ran out before the crash was noticed, so that it may have ended before.
  bool mMayHaveEnded{ false };

  friend bool operator==(const RunAtCrash&, const RunAtCrash&) = default;
  friend auto operator<=>(const RunAtCrash&, const RunAtCrash&) = default;
};

} // namespace by
