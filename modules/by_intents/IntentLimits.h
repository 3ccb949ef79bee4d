#pragma once

#include <cstddef>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// Plans of one team that may wait to be confirmed at once.
constexpr std::int64_t kMaxPlansPerTeam = 256;
/// How long an ended intent is kept.
constexpr Time kEndedIntentRetention = Time::FromSeconds(3600);
/// Ended intents that are kept at most.
constexpr std::size_t kMaxEndedIntents = 4096;
/// How long a plan is kept after its expiry, so that a late confirmation is told why it failed.
constexpr Time kPlanRetention = Time::FromSeconds(60);
/// The first wait before a task is assigned again; it doubles with each attempt.
constexpr Time kInitialRetryBackoff = Time::FromMilliseconds(500);
/// The longest wait before a task is assigned again.
constexpr Time kMaxRetryBackoff = Time::FromSeconds(60);
/// The longest wait before a task that was only released is assigned again.
constexpr Time kMaxReleaseBackoff = Time::FromSeconds(4);
/// A service's replica that ran this long starts over with the shortest wait.
constexpr Time kStableRunTime = Time::FromSeconds(600);
/// A proposal that the log has not shown after this long is made again.
constexpr Time kProposalTimeout = Time::FromSeconds(2);
/// How long a gang's reservations are held while others are missing.
constexpr Time kGangReservationTimeout = Time::FromSeconds(10);
/// How long a rack's owner lets an assigned task wait for room before it releases it.
constexpr Time kOfferTimeout = Time::FromSeconds(5);
/// How long after its sending a backend server may still take a start.
constexpr Time kStartWindow = Time::FromSeconds(2);
/// Time between two requests to stop the same task.
constexpr Time kStopRetryInterval = Time::FromSeconds(2);
/// Intents of each urgency that one step of the controller looks at.
constexpr std::size_t kMaxIntentsPerStep = 128;
/// Assignments of one intent in one record; a gang's assignments are never split.
constexpr std::size_t kMaxAssignmentsPerRecord = 256;
/// Reports in one record.
constexpr std::size_t kMaxReportsPerRecord = 256;

} // namespace by
