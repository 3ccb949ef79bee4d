#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/JobStep.h"

namespace by::detail {

using Candidates = std::vector<WorkerRow*>;

/// The usable workers that the advice service allows for a step, by name.
struct AllowedWorkers
{
  /// The workers that the step has valid tickets for.
  Candidates mWithTicket;
  /// All of them; their tickets can be renewed.
  Candidates mAll;
};

/// What a placement pass knows of a pool's trials.
struct TrialPool
{
  /// How many workers may be kept for trials, and how many hold one.
  std::size_t mLimit{ 0 };
  std::size_t mOnTrial{ 0 };
  /// The workers that a waiting trial of this pass has been promised.
  absl::flat_hash_set<const WorkerRow*> mPromised;
  /// The workers with a run on probation.
  absl::flat_hash_set<const WorkerRow*> mWithProbation;
  /// Whether the crash of a trial would be conclusive.
  bool mIsCalm{ false };
};

/// The rounds of advice queries of a pass in one pool.
struct QueryRounds
{
  /// The earliest time of a step's next query, and its key.
  using Waiting = std::pair<Time, ReadyKey>;

  /// The rounds that the first steps had, and how many of these steps had nothing to query.
  std::size_t mUsed{ 0 };
  std::size_t mEmpty{ 0 };
  /// The further steps that have waited longest, in this order; one for each empty round.
  std::vector<Waiting> mWaiting;
};

/// The state of one placement pass over the ready steps.
struct PlacementPass
{
  CellState& mState;
  Time mNow;
  Effects& mOut;
  /// The usable workers of each pool, by name, and an index of them.
  std::map<std::string, Candidates> mPools;
  std::map<std::string, absl::flat_hash_map<std::string_view, WorkerRow*>> mPoolIndexes{};
  std::size_t mPlaced{ 0 };
  /// Steps without capacity, and rounds of advice queries, by pool, so that a full pool hides no
  /// other.
  std::map<std::string, std::size_t> mMisses{};
  std::map<std::string, std::size_t> mWaitingGangs{};
  std::map<std::string, QueryRounds> mQueryRounds{};
  std::map<std::string, TrialPool> mTrialPools{};
  /// The teams with examined steps, and whether a step of theirs waits for their quota.
  std::map<TeamId, bool> mTeamsExamined{};
};

/// @returns the usable workers of a pool, by name.
const Candidates&
PoolOf(PlacementPass& aPass, const std::string& aPool);

/// @returns the usable workers of a pool that the advice service allows for a step.
AllowedWorkers
FindAllowed(PlacementPass& aPass, const std::string& aPool, const StepAdvice& aAdvice);

/// @returns the key of a task of a ready step.
JobTaskKey
TaskOf(const ReadyKey& aKey, std::uint32_t aIndex);

/// Counts the tasks of a step that candidates have capacity for; counting stops at a limit.
std::size_t
CountSlots(const PlacementPass& aPass,
           const Candidates& aCandidates,
           const JobStep& aStep,
           const JobTaskKey& aTask,
           const StepRow& aRow,
           Time aLatestStart,
           std::size_t aLimit);

/// Reserves the free capacity of some workers for a gang that can't start yet.
/// @param aCandidates the workers that the gang may run on.
/// @returns how many workers are reserved; none where the gang can't be expected to start soon.
std::size_t
ReserveForGang(PlacementPass& aPass,
               const JobStep& aStep,
               const JobTaskKey& aTask,
               StepRow& aRow,
               Time aLatestStart,
               const Candidates& aCandidates);

/// Logs why a gang waits, at most once a second.
/// @param aAllowed the usable workers that it may run on.
/// @param aCandidates those of them that it has valid tickets for; all of them without advice.
void
ReportWait(PlacementPass& aPass,
           JobRow& aJob,
           const ReadyKey& aKey,
           Time aLatestStart,
           const Candidates& aAllowed,
           const Candidates& aCandidates,
           std::size_t aReserved);

} // namespace by::detail
