#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_queueing/RefusedBacklog.h"
#include "by_queueing/TeamDemand.h"
#include "by_queueing/TokenBucket.h"

namespace by {

/// The share that stands for all submissions. [thousandths]
inline constexpr std::int64_t kAllPermille = 1000;

/// @returns how many jobs a team may submit each second.
/// @param aWeight its weight; zero counts as one.
std::int64_t
JobsPerSecond(std::int64_t aWeight);

/// @returns a bucket that holds the submissions of one second, and at least two.
TokenBucket
FullBucket(std::int64_t aRate, Time aNow);

/// Adds the tokens of the time that has passed and takes one.
///
/// Load pattern: one team submits several times its rate beside teams within theirs. Each team has
/// a bucket of its own, so that a team within its rate is accepted whatever the others submit. A
/// bucket holds what a team submits in a second, so that tokens are not saved up for a flood.
/// @param aRate the team's rate at present. [jobs a second]
/// @returns whether there was a token; otherwise the submission exceeds the rate.
bool
TakeToken(TokenBucket& aBucket, std::int64_t aRate, Time aNow);

/// Counts a submission that has reached the owner. While nodes forward a share only, it stands for
/// those that nodes have refused, so that their refusals do not hide the load.
void
CountArrival(TeamDemand& aDemand);

/// Chooses the share of a team's submissions that nodes forward.
///
/// Load pattern: the flood of one team reaches the owner over all links and takes its time, though
/// it refuses most of it. Nodes forward half again as much as the rate, so that the bucket at the
/// owner always has submissions to accept, also where they arrive unevenly. The share at most
/// doubles with each interval, so that a flood does not return as a whole when it has been
/// refused for some time.
/// @param aInterval the time since the last update, above zero.
/// @param aIsRefused whether submissions beyond the rate are being refused.
void
UpdateAdmittedShare(TeamDemand& aDemand, std::int64_t aRate, Time aInterval, bool aIsRefused);

/// Decides whether a node forwards the next submission of a team. The error of each decision is
/// carried over to the next, so that the share holds exactly for any order of arrivals, without
/// random numbers.
/// @param aCredit the error that was carried over, from 0 to 999.
bool
ForwardsNext(std::int64_t& aCredit, std::int64_t aAdmittedPermille);

/// Adds a refused submission to those that are expected to come back.
/// @returns in what time the bucket refills enough for all of them.
Time
AddRefused(RefusedBacklog& aBacklog, std::int64_t aRate, Time aNow);

/// @returns in what time the bucket refills enough for the submissions that nodes refuse in a
/// second.
Time
RefillTimeOfRefused(std::int64_t aAdmittedPermille);

/// Chooses when a caller whose team exceeds its rate comes back.
///
/// Load pattern: a burst is refused at one moment. If all callers came back after the same time,
/// they would be the same burst again. They are spread evenly over the time in which the bucket
/// refills enough for them, from one second on; in whole seconds, since callers get no others. A
/// caller gives up its submission after about three seconds, so that nobody is told to wait longer
/// than four.
/// @param aRefillTime in what time the bucket refills enough for the refused submissions.
/// @param aIndex the number of the refusal; consecutive ones get different times.
Time
ReturnDelay(Time aRefillTime, std::uint64_t aIndex);

} // namespace by
