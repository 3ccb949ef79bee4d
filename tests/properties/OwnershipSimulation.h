#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "by_membership/by_membership.h"
#include "by_ownership/by_ownership.h"
#include "by_schema/ClusterSettings.h"
#include "by_schema/VmList.h"
#include "support/BackendFake.h"
#include "support/LogText.h"

namespace by::test {

/// The kinds of faults injected into a history.
enum class FaultKind : std::uint8_t
{
  PauseNode,
  KillNode,
  ReplaceNode,
  PartitionNodeFromLog,
  PartitionNodeFromPeers,
  PartitionNodeFromServers,
  LogDown,
  PauseServer,
  ReplaceServer,
  DrainNode,
  IsolateNode,
};

/// One injected fault. Times are in milliseconds.
struct Fault
{
  FaultKind mKind{};
  std::int64_t mAt{ 0 };
  std::int64_t mDuration{ 0 };
  std::size_t mTarget{ 0 };
};

/// One simulated entry node, reduced to what affects ownership.
struct OwnershipNode
{
  OwnershipContext mContext;
  LogState mLog;
  Membership mMembership;
  Ownership mOwnership;
  std::int64_t mClockOffset{ 0 };
  std::uint64_t mHeartbeatSequence{ 0 };
  bool mAlive{ true };
  Time mPausedUntil{};
  Time mLogPartitionedUntil{};
  Time mPeersPartitionedUntil{};
  Time mServersPartitionedUntil{};
  /// Tasks that the node believes to be running, by VM.
  std::map<VmId, std::set<std::string>> mKnownTasks;
  /// Unanswered starts with the time from which no server accepts them, by VM.
  std::map<VmId, std::map<std::string, Time>> mPendingStarts;
  /// Tasks known on VMs when the node lost authority over them.
  std::map<VmId, std::set<std::string>> mRevokedTasks;
};

/// One simulated backend server with its own clock.
struct OwnershipServer
{
  BackendFake mServer;
  std::int64_t mClockOffset{ 0 };
  Time mPausedUntil{};
  std::set<std::string> mRunning;
};

/// Simulates the ownership decisions of several nodes with one log and some backend servers.
/// Messages may be lost, duplicated, delayed and reordered.
class OwnershipSimulation
{
public:
  OwnershipSimulation(std::uint64_t aSeed, std::size_t aNodes, Fencing aFencing);

  /// Runs a history with the given faults for a time in milliseconds.
  /// @returns the first violated invariant with its time; empty if all held.
  std::string Run(const std::vector<Fault>& aFaults, std::int64_t aDuration);

  /// Continues without faults for a time in milliseconds.
  /// @returns the number of VMs on which some node could place at some point.
  std::size_t PlaceableVms(std::int64_t aDuration);
  std::size_t VmCount() const { return mServers.size(); }
  std::int64_t StartedTasks() const { return mStartedTasks; }

private:
  using Action = std::function<void()>;

  Time LocalTime(const OwnershipNode& aNode) const { return mNow + Ms(aNode.mClockOffset); }
  Time ServerTime(const OwnershipServer& aServer) const { return mNow + Ms(aServer.mClockOffset); }
  std::int64_t RandomBetween(std::int64_t aFrom, std::int64_t aTo);
  bool Chance(int aPercent) { return RandomBetween(1, 100) <= aPercent; }
  /// @returns a message delay in milliseconds: usually short, sometimes several seconds.
  std::int64_t Delay() { return Chance(3) ? RandomBetween(500, 4000) : RandomBetween(1, 20); }
  void Schedule(std::int64_t aDelay, Action aAction);
  /// Delivers to a node once it is not paused; never if its process has ended by then.
  void DeliverToNode(std::size_t aNode, std::int64_t aDelay, Action aAction);
  void DeliverToServer(const VmId& aVm, std::int64_t aDelay, Action aAction);

  void Apply(const Fault& aFault);
  void StartProcess(std::size_t aNode);
  void Tick(std::size_t aNode);
  void ReadLog(std::size_t aNode);
  void HandleLogRead(std::size_t aNode, Time aSentAt);
  void SendHeartbeats(std::size_t aNode);
  /// Carries out a node's actions.
  /// @param aRequestSentAt when the request that led to these actions was sent.
  void PerformActions(std::size_t aNode,
                      const OwnershipActions& aActions,
                      Time aRequestSentAt = {});
  void AppendRecords(std::size_t aNode, const LogRecordBody& aBody);
  void SendLeaseTo(std::size_t aNode, const SendLease& aLease);
  void StartTasks(std::size_t aNode);
  void SendStartTo(std::size_t aNode, const VmId& aVm, std::uint64_t aEpoch);
  void EndTask(const VmId& aVm, const std::string& aTask);
  void ReportViolation(const std::string& aText);
  void CheckInvariants();

  std::mt19937_64 mRandom;
  ClusterSettings mSettings;
  Time mNow = Ms(1000000);
  std::multimap<Time, Action> mQueue;
  std::vector<std::unique_ptr<OwnershipNode>> mNodes;
  std::map<VmId, OwnershipServer> mServers;
  VmList mList;
  std::vector<LogEntry> mLog;
  Time mLogDownUntil{};
  std::int64_t mStartedTasks{ 0 };
  std::uint64_t mLastId{ 0 };
  std::string mViolation;
};

} // namespace by::test
