#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"

#include "by_cell/LostRun.h"
#include "by_cell/RunId.h"
#include "by_cell/RunRow.h"
#include "by_cell/WorkerHealth.h"
#include "by_core/Time.h"
#include "by_schema/WorkerRegistration.h"

namespace by {

/// The slowest rate of a worker's clock, in percent of the owner's.
constexpr std::int64_t kSlowestClockPercent = 98;

/// The owner's view of one worker.
struct WorkerRow
{
  /// Its registry entry, or the name alone where only a stored assignment is known.
  WorkerRegistration mRegistration;
  /// Whether the registry lists the worker.
  bool mRegistered{ false };
  /// When the registry dropped the worker; zero while it is listed.
  Time mDeregisteredAt{};
  WorkerHealth mHealth{ WorkerHealth::Unseen };
  /// The earliest time at which a draining worker leaves; Never() while it does not drain.
  Time mDrainsUntil{ Time::Never() };
  /// Whether its machine is about to go down for maintenance, so that it gets no new tasks.
  bool mEvacuating{ false };
  /// When its process started, since 1970; zero while unknown.
  Time mProcessStart{};
  /// The same of the process before; zero where none is known.
  Time mFormerProcessStart{};
  /// An entry whose process seems to have started before the known one: it is left over, or the
  /// worker's time of day was set back. Its process counts once it has answered.
  std::optional<WorkerRegistration> mDoubtfulEntry;
  /// The worker's clock in its last report, and when that report arrived.
  Time mWorkerClock{};
  Time mWorkerClockReadAt{};
  /// The end of the latest lease sent to it, on the worker's clock.
  Time mLeaseSent{};
  /// When its current incarnation was first seen.
  Time mIncarnationSince{};
  /// Until when orders that named no process, sent before the current one, may be carried out.
  Time mLateOrdersUntil{};
  /// When its lease has expired for certain, while it is not renewed.
  Time mLeaseExpiresAt{ Time::Never() };
  /// Whether a poll is unanswered, and when it was sent.
  bool mPollInFlight{ false };
  Time mPollSentAt{};
  /// Whether it was sent to where mDoubtfulEntry showed another process.
  bool mPolledOther{ false };
  /// When to send the next poll; Never() where none is needed.
  Time mNextPoll{ Time::Never() };
  /// When it first left a call unanswered since its last answer; Never() while it answers.
  Time mSilentSince{ Time::Never() };
  /// Consecutive polls that failed.
  std::uint32_t mPollFailures{ 0 };
  /// The number of the last end that was processed, and of the last one that is stored.
  std::uint64_t mLastEndSeen{ 0 };
  std::uint64_t mLastEndStored{ 0 };
  /// How many reports of this incarnation were processed.
  std::uint64_t mReports{ 0 };
  /// The newest report such that all ends from before it are known. A worker lists a part of its
  /// ends at a time, the oldest first, so that a report may lack a run whose end is still to come.
  std::uint64_t mEndsKnownUntilReport{ 0 };
  /// How many runs the last report lacked whose ends may still be listed.
  std::uint32_t mUnresolvedRuns{ 0 };
  /// The runs that hold capacity, and the sum of their resources.
  absl::btree_map<RunId, RunRow> mRuns;
  Resources mUsed;
  /// How many of them belong to tasks whose demand is not known.
  std::uint32_t mUnknownRuns{ 0 };
  /// The runs on trial; while there are any, no other task is placed here.
  std::uint32_t mTrials{ 0 };
  /// Until when no task is placed here, so that a trial can be.
  Time mHeldForTrialUntil{};
  /// Runs whose lease expired while the worker was out of reach; they may have crashed it.
  std::vector<LostRun> mLostRuns;
  /// Whether the crash of its current process has been recorded.
  bool mIsCrashRecorded{ false };
  /// Consecutive runs that failed on the worker; the members of one run of a gang count once.
  std::uint32_t mConsecutiveFailures{ 0 };
  /// The last of them; empty while there is none.
  std::optional<RunId> mLastFailedRun;
  /// Until when it is quarantined, after which one new run at a time probes it, or the members of
  /// one run of a gang; zero once a run was done, or a long-running one has been at work for long
  /// enough.
  Time mQuarantinedUntil{};
  /// The same before its last failed run.
  Time mQuarantinedBefore{};
  /// The ratio of the actual to the declared duration of its tasks, as a moving average.
  double mSlowness{ 1.0 };
  /// The last placement pass that reserved its free capacity for a gang, the number of the
  /// reservation, and when the gang is expected to start.
  std::uint64_t mReservedInPass{ 0 };
  std::uint64_t mReservation{ 0 };
  Time mReservedUntil{};
};

} // namespace by
