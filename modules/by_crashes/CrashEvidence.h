#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_crashes/CrashRole.h"
#include "by_crashes/PoolCrashes.h"

namespace by {

/// How far back crashes count for the rate at which workers crash for reasons of their own.
constexpr Time kCrashWindow = Time::FromSeconds(5);
/// Workers that fall silent within this time of each other may have crashed for one reason.
constexpr Time kNearCrash = Time::FromMilliseconds(500);

/// @returns the probability that a worker would have crashed without its suspects.
/// @param aExposure the time in which a crash counts against them.
double
ChanceOfCrash(const PoolCrashes& aPool, Time aExposure);

/// @returns the weight of a crash as evidence against a task with a role in it: the more, the less
/// likely the crash was without the task.
std::uint32_t
BlameFor(CrashRole aRole, double aChance);

/// @returns whether so few workers crash for reasons of their own that the crash of a trial would
/// be conclusive.
bool
IsCalm(const PoolCrashes& aPool);

} // namespace by
