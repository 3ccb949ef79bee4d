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

/// What goes wrong in a history.
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

/// One thing that goes wrong.
struct Fault
{
  FaultKind mKind{};
  std::int64_t mAt{ 0 };
  std::int64_t mDuration{ 0 };
  std::size_t mTarget{ 0 };
};

/// One entry node: only what bears on ownership.
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
  /// Tasks it believes to run on each VM.
  std::map<VmId, std::set<std::string>> mKnownTasks;
  /// Starts that were not answered, with the time from which they can't be taken any more.
  std::map<VmId, std::map<std::string, Time>> mPendingStarts;
  /// Tasks on VMs whose authority it lost.
  std::map<VmId, std::set<std::string>> mRevokedTasks;
};

/// A backend server with its own clock.
struct OwnershipServer
{
  BackendFake mServer;
  std::int64_t mClockOffset{ 0 };
  Time mPausedUntil{};
  std::set<std::string> mRunning;
};

/// Several nodes' ownership decisions, one log and some backend servers, joined by a queue of
/// effects that loses, doubles, delays and reorders.
class OwnershipSimulation
{
public:
  OwnershipSimulation(std::uint64_t aSeed, std::size_t aNodes, Fencing aFencing);

  /// Runs a history.
  /// @returns what was broken first, with its time; empty where all promises held.
  std::string Run(const std::vector<Fault>& aFaults, std::int64_t aDuration);

  /// Runs on without faults.
  /// @returns the VMs on which just one node could place at some time.
  std::size_t PlaceableVms(std::int64_t aDuration);
  std::size_t VmCount() const { return mServers.size(); }
  std::int64_t StartedTasks() const { return mStartedTasks; }

private:
  using Action = std::function<void()>;

  Time LocalTime(const OwnershipNode& aNode) const { return mNow + Ms(aNode.mClockOffset); }
  Time ServerTime(const OwnershipServer& aServer) const { return mNow + Ms(aServer.mClockOffset); }
  std::int64_t RandomBetween(std::int64_t aFrom, std::int64_t aTo);
  bool Chance(int aPercent) { return RandomBetween(1, 100) <= aPercent; }
  /// A message's delay: short, seldom seconds.
  std::int64_t Delay() { return Chance(3) ? RandomBetween(500, 4000) : RandomBetween(1, 20); }
  void Schedule(std::int64_t aDelay, Action aAction);
  /// Reaches a node once it is not paused; never, where its process has ended by then.
  void DeliverToNode(std::size_t aNode, std::int64_t aDelay, Action aAction);
  void DeliverToServer(const VmId& aVm, std::int64_t aDelay, Action aAction);

  void Apply(const Fault& aFault);
  void StartProcess(std::size_t aNode);
  void Tick(std::size_t aNode);
  void ReadLog(std::size_t aNode);
  void HandleLogRead(std::size_t aNode, Time aSentAt);
  void SendHeartbeats(std::size_t aNode);
  /// @param aRequestSentAt when the request was sent whose answer led to these actions.
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
