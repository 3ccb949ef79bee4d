#include "by_crashes/CrashHistories.h"

#include <algorithm>
#include <numeric>

namespace by {

namespace {

/// Tasks that crash their workers mostly do so within this time of their start.
constexpr Time kProbation = Time::FromMilliseconds(500);
/// The longest time that a worker is kept for a trial; longer than most crashes take to show.
constexpr Time kMaxProbation = Time::FromSeconds(8);
/// A task that crashed its worker at some age would do so again before this many times that age,
/// and the usual probation more: its worker may be slower, and silence is noticed late.
constexpr std::int64_t kAgeTolerance = 2;
/// Crashes at younger ages than this are alike.
constexpr Time kMinDifference = Time::FromMilliseconds(1000);
/// Workers crash for other reasons too, so that a service loses a few over its lifetime.
constexpr Time kMemory = Time::FromSeconds(3600);
constexpr std::size_t kMaxRuns = 8;
/// Most crashes come at a younger age than this; that of a run that nobody saw end is not known.
constexpr Time kUnseenAge = Time::FromMilliseconds(750);

/// Two crashes without another explanation.
constexpr std::uint32_t kHopelessBlame = 8;
constexpr std::size_t kHopelessCrashes = 3;
/// Less than a crash without another explanation.
constexpr std::uint32_t kMaxWeakBlame = 2;
/// A task that may have crashed so many workers is started no more than so many times again.
constexpr std::size_t kKnownCrashes = 3;
constexpr std::uint32_t kStartsAfterCrashes = 2;
/// From this many crashes on a task is tried alone although each of them has another explanation:
/// crashes soon after its starts, and crashes at about the same age.
constexpr std::size_t kTrialSuspectedRuns = 2;
constexpr std::size_t kTrialCrashes = 3;

/// @returns the age that a run has to reach to show that the task did not cause a crash.
Time
ClearingAge(Time aAge)
{
  return aAge * kAgeTolerance + kProbation;
}

bool
HasRun(const CrashHistory& aHistory, std::uint32_t aRun)
{
  return std::any_of(aHistory.mRuns.begin(), aHistory.mRuns.end(), [&](const CrashedRun& aOther) {
    return aOther.mRun == aRun;
  });
}

std::size_t
CountSuspectedRuns(const CrashHistory& aHistory)
{
  return static_cast<std::size_t>(
    std::count_if(aHistory.mRuns.begin(), aHistory.mRuns.end(), [](const CrashedRun& aRun) {
      return aRun.mIsSuspect;
    }));
}

/// @returns whether the task has used up the starts that it has after its third crash, also for
/// runs that ended without one. Runs that may have crashed a worker unseen use up starts too.
bool
HasUsedItsStarts(const CrashHistory& aHistory)
{
  if (CountSuspectedRuns(aHistory) <= kKnownCrashes) {
    return false;
  }
  auto runs = aHistory.mLapsed;
  auto newest = aHistory.mRuns.back().mRun;
  for (const auto run : aHistory.mLapsed) {
    newest = std::max(newest, run);
  }
  for (const auto& run : aHistory.mRuns) {
    if (run.mIsSuspect) {
      runs.push_back(run.mRun);
    }
  }
  std::sort(runs.begin(), runs.end());
  return newest >= runs[kKnownCrashes - 1] + kStartsAfterCrashes;
}

} // namespace

std::uint32_t
BlameOf(const CrashHistory& aHistory)
{
  return std::accumulate(
    aHistory.mRuns.begin(),
    aHistory.mRuns.end(),
    std::uint32_t{ 0 },
    [](std::uint32_t aSum, const CrashedRun& aRun) { return aSum + aRun.mBlame; });
}

CrashHistory
WithCrash(CrashHistory aHistory, const CrashedRun& aRun, Time aNow)
{
  if (HasRun(aHistory, aRun.mRun)) {
    return aHistory;
  }
  std::erase(aHistory.mLapsed, aRun.mRun);
  if (aNow > aHistory.mLastCrash + kMemory) {
    aHistory.mRuns.clear();
  }
  std::erase_if(aHistory.mRuns, [&](const CrashedRun& aOther) {
    return aOther.mAge > std::max(kMinDifference, ClearingAge(aRun.mAge));
  });
  aHistory.mRuns.push_back(aRun);
  aHistory.mLastCrash = aNow;
  if (aHistory.mRuns.size() > kMaxRuns) {
    aHistory.mRuns.erase(aHistory.mRuns.begin());
  }
  return aHistory;
}

CrashHistory
WithLapse(CrashHistory aHistory, std::uint32_t aRun)
{
  auto& lapsed = aHistory.mLapsed;
  if (HasRun(aHistory, aRun) || std::find(lapsed.begin(), lapsed.end(), aRun) != lapsed.end()) {
    return aHistory;
  }
  lapsed.push_back(aRun);
  if (lapsed.size() > kMaxRuns) {
    lapsed.erase(lapsed.begin());
  }
  return aHistory;
}

CrashHistory
WithoutLapse(CrashHistory aHistory, std::uint32_t aRun)
{
  std::erase(aHistory.mLapsed, aRun);
  return aHistory;
}

CrashHistory
WithBlame(CrashHistory aHistory, std::uint32_t aRun, std::uint32_t aBlame)
{
  for (auto& run : aHistory.mRuns) {
    if (run.mRun == aRun) {
      run.mBlame = aBlame;
    }
  }
  return aHistory;
}

CrashHistory
WithSurvival(CrashHistory aHistory, Time aAge)
{
  std::erase_if(aHistory.mRuns,
                [&](const CrashedRun& aRun) { return aAge >= ClearingAge(aRun.mAge); });
  if (aAge >= ClearingAge(kUnseenAge)) {
    aHistory.mLapsed.clear();
  }
  return aHistory;
}

bool
NeedsTrial(const CrashHistory& aHistory)
{
  return BlameOf(aHistory) > 0 || CountSuspectedRuns(aHistory) >= kTrialSuspectedRuns ||
         aHistory.mRuns.size() >= kTrialCrashes;
}

bool
IsWeaklySuspected(const CrashHistory& aHistory)
{
  return BlameOf(aHistory) <= kMaxWeakBlame && !NeedsCalmTrial(aHistory);
}

bool
NeedsCalmTrial(const CrashHistory& aHistory)
{
  return CountSuspectedRuns(aHistory) >= kKnownCrashes;
}

bool
IsHopeless(const CrashHistory& aHistory)
{
  return (HasUsedItsStarts(aHistory) && BlameOf(aHistory) > 0) ||
         (aHistory.mRuns.size() >= kHopelessCrashes && BlameOf(aHistory) >= kHopelessBlame);
}

Time
ProbationOf(const CrashHistory& aHistory)
{
  auto probation = kProbation;
  if (!NeedsTrial(aHistory)) {
    return probation;
  }
  for (const auto& run : aHistory.mRuns) {
    probation = std::max(probation, ClearingAge(run.mAge));
  }
  return std::min(probation, kMaxProbation);
}

} // namespace by
