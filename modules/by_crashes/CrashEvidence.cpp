#include "by_crashes/CrashEvidence.h"

#include <algorithm>
#include <cmath>

namespace by {

namespace {

/// How often a worker crashes for reasons of its own at the least.
constexpr Time kUsualCrashInterval = Time::FromSeconds(600);
/// The time in which most tasks that crash their workers do so.
constexpr Time kTrialExposure = Time::FromMilliseconds(500);

/// Below these chances a crash is conclusive, strong evidence, and weak evidence.
constexpr double kConclusiveChance = 0.02;
constexpr double kStrongChance = 0.06;
constexpr double kWeakChance = 0.10;
/// Fewer crashes than this, at about the same time or in the window, may well be the doing of as
/// many tasks.
constexpr std::size_t kMinNear = 3;
constexpr std::size_t kMinRecent = 4;

constexpr std::uint32_t kConclusiveBlame = 4;
constexpr std::uint32_t kStrongBlame = 3;
constexpr std::uint32_t kWeakBlame = 1;
constexpr std::uint32_t kSuspectBlame = 1;
constexpr std::uint32_t kDoubtfulBlame = 2;

std::uint32_t
MostBlame(CrashRole aRole)
{
  switch (aRole) {
    case CrashRole::Bystander:
      return 0;
    case CrashRole::Suspect:
      return kSuspectBlame;
    case CrashRole::DoubtfulSuspect:
      return kDoubtfulBlame;
    case CrashRole::UnconfirmedSuspect:
      return kStrongBlame;
    case CrashRole::SoleSuspect:
      return kConclusiveBlame;
  }
  return 0;
}

std::uint32_t
MostBlame(double aChance)
{
  if (aChance <= kConclusiveChance) {
    return kConclusiveBlame;
  }
  if (aChance <= kStrongChance) {
    return kStrongBlame;
  }
  return aChance <= kWeakChance ? kWeakBlame : 0;
}

} // namespace

double
ChanceOfCrash(const PoolCrashes& aPool, Time aExposure)
{
  const auto workers = static_cast<double>(std::max<std::size_t>(1, aPool.mWorkers));
  const auto exposure = static_cast<double>(aExposure.Milliseconds());
  const auto window = static_cast<double>(kCrashWindow.Milliseconds());
  const auto usual = 1 / static_cast<double>(kUsualCrashInterval.Milliseconds());
  const auto near = aPool.mNear < kMinNear ? 0.0 : static_cast<double>(aPool.mNear);
  const auto recent = aPool.mRecent < kMinRecent ? 0.0 : static_cast<double>(aPool.mRecent);
  const auto rate = std::max(usual, recent / (workers * window));
  return std::max(near / workers, 1 - std::exp(-rate * exposure));
}

std::uint32_t
BlameFor(CrashRole aRole, double aChance)
{
  return std::min(MostBlame(aRole), MostBlame(aChance));
}

bool
IsCalm(const PoolCrashes& aPool)
{
  return ChanceOfCrash(aPool, kTrialExposure) <= kConclusiveChance;
}

} // namespace by
