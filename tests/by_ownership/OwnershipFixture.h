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

/// One node's ownership with a log, peers and backend servers that the test drives.
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
  /// How many entries the peers have read that this node has not.
  std::uint64_t mPeerLogLead{ 0 };
  Time mNow = Ms(100000);

  /// Lists the VMs of racks with two VMs each: "RACK/a" and "RACK/b".
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

  /// A peer's next heartbeat arrives.
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

  OwnershipActions Step(std::int64_t aDelay = 0)
  {
    mNow = mNow + Ms(aDelay);
    mContext.mLogReadAt = mContext.mLogFresh ? mNow : mContext.mLogReadAt;
    return StepOwnership(mOwnership, mContext, mNow);
  }

  /// Takes steps at the heartbeat interval while peers are heard and servers answer.
  /// @returns what the last step wanted.
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

  /// Every server answers the requests that a step made.
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

  /// The log takes the records that a step made.
  void AppendRecords(const OwnershipActions& aActions)
  {
    for (const auto& record : aActions.mRecords) {
      Append(mLog, mNow, record);
    }
  }

  /// This node owns the rack and has taken its VMs over.
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

  /// A task runs on a server.
  void RunTask(const std::string& aVm, const std::string& aTask)
  {
    auto& server = mServers[VmId(aVm)];
    server.mLeaseUntil = mNow + Ms(6000);
    server.mTasks.push_back(
      TaskStatus::Create({ .mTask = TaskId(aTask), .mGeneration = 1 }).value());
  }
};

} // namespace by::test
