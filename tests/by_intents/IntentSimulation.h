#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "by_intents/by_intents.h"
#include "by_schema/LeaseGrant.h"
#include "by_schema/RackClaim.h"

namespace by::test {

/// Simulates three nodes, a log and a few backend servers event by event. Pending effects are
/// carried out in any order or lost. The first violated invariant is recorded.
struct Simulation
{
  struct Run
  {
    std::uint64_t mGeneration{ 0 };
    Resources mResources;
    TeamId mTeam;
  };
  struct Server
  {
    RackId mRack;
    bool mCrashed{ false };
    bool mUnreachable{ false };
    std::uint64_t mEpoch{ 0 };
    Time mLeaseUntil;
    std::map<TaskId, Run> mRunningTasks;
    std::map<TaskId, TaskStatus> mEndedTasks;
  };
  struct Lease
  {
    std::uint64_t mEpoch{ 0 };
    Time mLastSent;
    Time mLastGrant;
    Time mVmLostUntil;
  };
  struct Reservation
  {
    VmId mVm;
    Resources mResources;
  };
  struct Node
  {
    NodeId mId;
    std::uint64_t mIncarnation{ 1 };
    std::size_t mFolded{ 0 };
    IntentTable mTable;
    std::map<RackId, RackOwner> mOwners;
    IntentController mController;
    RackTasks mTasks;
    std::map<VmId, Lease> mLeases;
    std::map<TaskId, Reservation> mReservations;
    std::vector<WorkItem> mQueue;
  };

  Time mNow{ Time::FromSeconds(1000) };
  std::vector<LogEntry> mLog;
  std::vector<Node> mNodes;
  std::map<VmId, Server> mServers;
  std::vector<VmDescription> mVms;
  std::vector<std::function<void()>> mPendingEffects;
  ConfigDocument mConfig;
  /// The log folded to its end.
  Node mReference;
  std::set<std::pair<IntentId, std::uint64_t>> mStartedRounds;
  std::set<TaskId> mNonIdempotentRuns;
  int mIntents{ 0 };
  std::string mViolation;

  Simulation();
  /// Applies one random event.
  void ApplyRandomEvent(std::uint32_t aChoice);
  /// Runs the simulation without faults until all intents have ended.
  /// @returns the violation or the unfinished intent, or empty.
  std::string RunToCompletion();

private:
  /// @returns a description of one intent that has not ended; empty if all have.
  std::string UnfinishedIntent() const;
  void RecordViolation(const std::string& aText);
  void FoldOne(Node& aNode, const LogEntry& aEntry);
  void Append(LogRecord aRecord);
  template<class Body>
  void Append(Body aBody);
  void Advance(std::int64_t aMilliseconds);
  void StepNode(std::size_t aNode, bool aFoldWholeLog);
  void RenewLeases(std::size_t aNode);
  void SendLease(std::size_t aNode, const VmId& aVm, Lease& aLease, std::uint64_t aEpoch);
  void ApplyActions(std::size_t aNode, RackTaskActions aActions);
  void PlaceQueuedTasks(Node& aNode);
  void SendStart(std::size_t aNode, const IntentTaskStart& aStart);
  TaskResult StartOn(const VmId& aVm, const TaskStart& aStart);
  void CheckStart(const VmId& aVm, const TaskStart& aStart);
  void CheckQuota();
  void EndTask(std::uint32_t aChoice, TaskState aState);
  void DeliverEffect(std::uint32_t aChoice);
  void InjectFault(std::uint32_t aChoice);
  void ApplyOperatorAction(std::uint32_t aChoice);
  void ClaimRack(std::size_t aNode, const RackId& aRack);
  bool IsRackReconciled(const Node& aNode, const RackId& aRack, std::uint64_t aEpoch) const;
};

} // namespace by::test
