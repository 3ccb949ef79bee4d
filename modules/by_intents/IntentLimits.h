#pragma once

#include <cstddef>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// Maximum number of unconfirmed plans per team.
constexpr std::int64_t kMaxPlansPerTeam = 256;
/// How long an ended intent is kept.
constexpr Time kEndedIntentRetention = Time::FromSeconds(3600);
/// Maximum number of ended intents that are kept.
constexpr std::size_t kMaxEndedIntents = 4096;
/// How long a plan is kept after its expiry, so that a late confirmation gets the reason for its
/// failure.
constexpr Time kPlanRetention = Time::FromSeconds(60);
/// Delay before the first reassignment of a task; it doubles with each further failure or release.
constexpr Time kInitialRetryBackoff = Time::FromMilliseconds(500);
/// Maximum delay before a task is reassigned after a failure; a gang may wait up to twice as long.
constexpr Time kMaxRetryBackoff = Time::FromSeconds(60);
/// Maximum delay before a task is reassigned that was only released and never failed; a gang may
/// wait up to twice as long.
constexpr Time kMaxReleaseBackoff = Time::FromSeconds(4);
/// A service replica that ran this long restarts with the initial backoff.
constexpr Time kStableRunTime = Time::FromSeconds(600);
/// A proposal that has not appeared in the log after this time is made again.
constexpr Time kProposalTimeout = Time::FromSeconds(2);
/// How long a gang's reservations are held while other tasks of the gang have none.
constexpr Time kGangReservationTimeout = Time::FromSeconds(10);
/// How long a rack's owner waits for free capacity before it releases an assigned task.
constexpr Time kOfferTimeout = Time::FromSeconds(5);
/// How long after sending a backend server may still accept a start.
constexpr Time kStartWindow = Time::FromSeconds(2);
/// Interval between two stop commands for the same task.
constexpr Time kStopRetryInterval = Time::FromSeconds(2);
/// Maximum number of intents of each urgency that the controller processes in one step.
constexpr std::size_t kMaxIntentsPerStep = 128;
/// Maximum number of assignments of one intent in one record; the assignments of a gang are never
/// split.
constexpr std::size_t kMaxAssignmentsPerRecord = 256;
/// Maximum number of reports in one record.
constexpr std::size_t kMaxReportsPerRecord = 256;

} // namespace by
