#include "by_crashes/CrashAttribution.h"

#include <algorithm>

namespace by {

namespace {

bool
IsOnProbation(const RunAtCrash& aRun)
{
  return aRun.mSurvived < aRun.mProbation;
}

/// @returns whether all of the runs that a predicate selects belong to one job and have started.
template<class Predicate>
bool
AreOfOneJob(std::span<const RunAtCrash> aRuns, Predicate aSelects)
{
  const auto first = std::find_if(aRuns.begin(), aRuns.end(), aSelects);
  return std::all_of(first, aRuns.end(), [&](const RunAtCrash& aRun) {
    return !aSelects(aRun) || (aRun.mHasStarted && aRun.mJob == first->mJob);
  });
}

} // namespace

std::vector<CrashRole>
AttributeCrash(std::span<const RunAtCrash> aRuns)
{
  std::vector<CrashRole> roles;
  if (std::none_of(aRuns.begin(), aRuns.end(), IsOnProbation)) {
    const bool isOneJob = AreOfOneJob(aRuns, [](const RunAtCrash&) { return true; });
    roles.assign(aRuns.size(), isOneJob ? CrashRole::DoubtfulSuspect : CrashRole::Bystander);
    return roles;
  }
  // A task that was suspected before is by far the likelier cause than one that was not.
  const auto isTrial = [](const RunAtCrash& aRun) { return IsOnProbation(aRun) && aRun.mIsTrial; };
  const bool hasTrial = std::any_of(aRuns.begin(), aRuns.end(), isTrial);
  const auto isSuspect = [&](const RunAtCrash& aRun) {
    return hasTrial ? isTrial(aRun) : IsOnProbation(aRun);
  };
  const bool isInDoubt = std::any_of(aRuns.begin(), aRuns.end(), [&](const RunAtCrash& aRun) {
    return isSuspect(aRun) ? aRun.mMayHaveEnded : IsOnProbation(aRun);
  });
  const bool isConfirmed = std::none_of(aRuns.begin(), aRuns.end(), [&](const RunAtCrash& aRun) {
    return isSuspect(aRun) && !aRun.mIsConfirmed;
  });
  const auto certain = isConfirmed ? CrashRole::SoleSuspect : CrashRole::UnconfirmedSuspect;
  const auto sole = isInDoubt ? CrashRole::DoubtfulSuspect : certain;
  const auto suspect = AreOfOneJob(aRuns, isSuspect) ? sole : CrashRole::Suspect;
  for (const auto& run : aRuns) {
    roles.push_back(isSuspect(run) ? suspect : CrashRole::Bystander);
  }
  return roles;
}

} // namespace by
