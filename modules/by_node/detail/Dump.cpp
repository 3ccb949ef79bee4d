#include "by_node/detail/Dump.h"

#include <algorithm>
#include <limits>
#include <string>

#include "by_node/NodeState.h"
#include "by_node/detail/StepWork.h"

namespace by::detail {

namespace {

constexpr std::size_t kMaxBriefRows = 20;

NodeStatus
SelfStatus(const NodeState& aState)
{
  return NodeStatus::Create(
           { .mNode = aState.mSettings.Node(),
             .mIncarnation = aState.mIncarnation,
             .mZone = aState.mSettings.Zone(),
             .mStatus = aState.mDraining ? "leaving" : "self",
             .mReady = IsReady(aState),
             .mAppliedOffset = aState.mLog.mNextOffset,
             .mConfigVersion = aState.mLog.mConfig.mCurrent.Version(),
             .mRacks = static_cast<std::int64_t>(aState.mOwnership.mRacks.size()) })
    .value();
}

NodeStatus
StatusOfMember(const NodeState& aState, Time aNow, const Member& aMember)
{
  const auto status = MemberStatusOf(aMember, aState.mSettings.Cluster(), aNow);
  return NodeStatus::Create({ .mNode = aMember.Node(),
                              .mIncarnation = aMember.Incarnation(),
                              .mZone = aMember.Zone(),
                              .mStatus = std::string(ToString(status)),
                              .mReady = aMember.Ready(),
                              .mAppliedOffset = aMember.AppliedOffset(),
                              .mConfigVersion = aMember.ConfigVersion(),
                              .mRacks = aMember.Summary().Racks(),
                              .mHeartbeatAge = aNow - aMember.LastHeard() })
    .value();
}

std::vector<OwnedVm>
VmsWithUsage(const NodeState& aState, Time aNow, std::size_t aMaxRows)
{
  std::vector<OwnedVm> vms;
  for (const auto& vm : OwnedVms(aState.mOwnership, aNow, aState.mSettings.Cluster())) {
    if (vms.size() == aMaxRows) {
      break;
    }
    auto fields = vm.ToFields();
    const auto row = aState.mScheduler.mVms.mRows.find(vm.Vm());
    if (row != aState.mScheduler.mVms.mRows.end()) {
      fields.mCommitted = row->second.Committed();
      fields.mTasks = row->second.Committed().Slots();
    }
    vms.push_back(OwnedVm::Create(std::move(fields)).value());
  }
  return vms;
}

} // namespace

std::vector<NodeStatus>
NodeStatuses(const NodeState& aState, Time aNow, bool aAll)
{
  std::vector<NodeStatus> nodes{ SelfStatus(aState) };
  for (const auto& [id, member] : aState.mMembership.mMembers) {
    if (id == aState.mSettings.Node()) {
      continue;
    }
    auto status = StatusOfMember(aState, aNow, member);
    if (aAll || status.Status() == "alive") {
      nodes.push_back(std::move(status));
    }
  }
  return nodes;
}

ConfigStatus
ConfigStatusOf(const NodeState& aState, Time aNow, bool aDocument)
{
  const auto& current = aState.mLog.mConfig.mCurrent;
  ConfigStatus::Fields fields{ .mVersion = current.Version(),
                               .mOperatorName = current.OperatorName(),
                               .mNodes = NodeStatuses(aState, aNow, true) };
  if (aDocument) {
    fields.mDocument = current.Document();
  }
  return ConfigStatus::Create(std::move(fields)).value();
}

StateDump
DumpOf(const NodeState& aState, Time aNow, bool aBrief)
{
  const auto maxRows = aBrief ? kMaxBriefRows : std::numeric_limits<std::size_t>::max();
  std::vector<RackOwner> owners;
  for (const auto& [rack, owner] : aState.mLog.mOwners.mRows) {
    owners.push_back(owner);
  }
  return StateDump::Create({ .mNode = aState.mSettings.Node(),
                             .mIncarnation = aState.mIncarnation,
                             .mReady = IsReady(aState),
                             .mDraining = aState.mDraining,
                             .mAppliedOffset = aState.mLog.mNextOffset,
                             .mLogReadAge = aNow - aState.mLogReadAt,
                             .mConfigVersion = aState.mConfigVersion,
                             .mNodes = NodeStatuses(aState, aNow, true),
                             .mOwners = std::move(owners),
                             .mVms = VmsWithUsage(aState, aNow, maxRows),
                             .mRequests = HeldRequests(aState.mRequests, aNow, maxRows),
                             .mQueued = Summarise(aState.mScheduler).Queued(),
                             .mClaims = static_cast<std::int64_t>(aState.mLog.mClaims.mRows.size()),
                             .mIntents = static_cast<std::int64_t>(
                               ListIntentStatuses(aState.mLog.mIntents, TeamId()).size()) })
    .value();
}

std::vector<VmDescription>
BackendServersOf(const NodeState& aState)
{
  std::vector<VmDescription> vms;
  for (const auto& [id, row] : aState.mMembership.mVms) {
    vms.push_back(row.Description());
  }
  std::sort(vms.begin(), vms.end());
  return vms;
}

} // namespace by::detail
