#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_membership/by_membership.h"
#include "by_ownership/by_ownership.h"
#include "by_schema/ClusterSettings.h"
#include "by_schema/Heartbeat.h"
#include "by_schema/LeaseAnswered.h"
#include "by_schema/VmList.h"
#include "support/BackendFake.h"
#include "support/LogText.h"

namespace by::test {

/// One node's ownership state with a log, peers and backend servers driven by the test.
struct OwnershipFixture
{
  LogState mLog;
  Membership mMembership;
  ClusterSettings mSettings;
  Ownership mOwnership;
  OwnershipContext mContext{ .mSelf = NodeId("node-1"),
                             .mIncarnation = 1,
                             .mLogState = &mLog,
                             .mMembership = &mMembership,
                             .mSettings = &mSettings,
                             .mLogFresh = true };
  std::map<VmId, BackendFake> mServers;
  std::map<std::string, std::uint64_t> mSequences;
  /// Number of log entries that peers have read beyond this node.
  std::uint64_t mPeerLogLead{ 0 };
  Time mNow = Ms(100000);

  /// Delivers a VM list with two VMs per rack: "RACK/a" and "RACK/b".
  void ListRacks(const std::vector<std::string>& aRacks, VmState aState = VmState::Live)
  {
    std::vector<VmDescription> vms;
    for (const auto& rack : aRacks) {
      for (const auto* name : { "a", "b" }) {
        const VmId vm(absl::StrCat(rack, "/", name));
        vms.push_back(
          VmDescription::Create(
            { .mVm = vm, .mState = aState, .mRack = RackId(rack), .mZone = ZoneId("zone-1") })
            .value());
        mServers.try_emplace(vm);
      }
    }
    ObserveVmList(mMembership, VmList::Create({ .mVms = vms }).value(), mNow);
  }

  /// Delivers a peer's next heartbeat.
  void ReceiveHeartbeat(const std::string& aNode,
                        std::uint64_t aIncarnation = 1,
                        bool aReady = true)
  {
    const auto heartbeat = Heartbeat::Create({ .mNode = NodeId(aNode),
                                               .mIncarnation = aIncarnation,
                                               .mSequence = ++mSequences[aNode],
                                               .mZone = ZoneId("zone-1"),
                                               .mReady = aReady,
                                               .mAppliedOffset = mLog.mNextOffset + mPeerLogLead });
    ObserveHeartbeat(mMembership, heartbeat.value(), mNow);
  }

  /// Advances the time by the given milliseconds and takes one step.
  OwnershipActions Step(std::int64_t aDelay = 0)
  {
    mNow = mNow + Ms(aDelay);
    mContext.mLogReadAt = mContext.mLogFresh ? mNow : mContext.mLogReadAt;
    return StepOwnership(mOwnership, mContext, mNow);
  }

  /// Steps at the heartbeat interval while the given peers send heartbeats and servers answer.
  /// @returns the actions of the last step.
  OwnershipActions Run(std::int64_t aDuration, const std::vector<std::string>& aPeers = {})
  {
    OwnershipActions actions;
    for (const auto end = mNow + Ms(aDuration); mNow < end;) {
      for (const auto& node : aPeers) {
        ReceiveHeartbeat(node);
      }
      actions = Step(500);
      AnswerLeases(actions);
    }
    return actions;
  }

  /// Delivers the servers' answers to the lease requests of a step.
  /// @returns the actions that follow from the answers.
  OwnershipActions AnswerLeases(const OwnershipActions& aActions)
  {
    OwnershipActions all;
    for (const auto& lease : aActions.mLeases) {
      const auto actions = AnswerLease(lease);
      all.mRecords.insert(all.mRecords.end(), actions.mRecords.begin(), actions.mRecords.end());
      all.mGained.insert(all.mGained.end(), actions.mGained.begin(), actions.mGained.end());
      all.mLost.insert(all.mLost.end(), actions.mLost.begin(), actions.mLost.end());
      all.mTasksLost.insert(
        all.mTasksLost.end(), actions.mTasksLost.begin(), actions.mTasksLost.end());
      all.mInventory.insert(
        all.mInventory.end(), actions.mInventory.begin(), actions.mInventory.end());
    }
    return all;
  }

  OwnershipActions AnswerLease(const SendLease& aLease)
  {
    const auto grant = mServers[aLease.Vm()].Answer(aLease.Request(), mNow);
    if (!grant) {
      return ObserveLeaseFailure(mOwnership, mContext, aLease.Vm(), mNow);
    }
    const auto answer = LeaseAnswered::Create({ .mVm = aLease.Vm(),
                                                .mEpoch = aLease.Request().Epoch(),
                                                .mSentAt = mNow,
                                                .mGrant = *grant });
    return ObserveLease(mOwnership, mContext, answer.value(), mNow);
  }

  /// Appends the records of a step to the log.
  void AppendRecords(const OwnershipActions& aActions)
  {
    for (const auto& record : aActions.mRecords) {
      Append(mLog, mNow, record);
    }
  }

  /// Makes this node the owner of the rack and lets it adopt the rack's VMs.
  void AcquireRack(const std::string& aRack)
  {
    const auto* owner = OwnerOf(mLog, RackId(aRack));
    Append(mLog, mNow, ClaimRack(aRack, "node-1", owner == nullptr ? 0 : owner->Epoch()));
    AnswerLeases(Step());
  }

  bool MayPlace(const std::string& aVm) const
  {
    return AuthorityOn(mOwnership, VmId(aVm), mNow, mSettings).has_value();
  }

  /// Adds a running task and a valid lease to a server.
  void RunTask(const std::string& aVm, const std::string& aTask)
  {
    auto& server = mServers[VmId(aVm)];
    server.mLeaseUntil = mNow + Ms(6000);
    server.mTasks.push_back(
      TaskStatus::Create({ .mTask = TaskId(aTask), .mGeneration = 1 }).value());
  }
};

} // namespace by::test
