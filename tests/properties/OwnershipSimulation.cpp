#include "properties/OwnershipSimulation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_schema/Heartbeat.h"
#include "by_schema/LeaseAnswered.h"
#include "by_schema/LogStateImage.h"
#include "by_schema/VmList.h"

namespace by::test {

namespace {

constexpr std::size_t kSlotsPerServer = 2;
constexpr std::size_t kRacks = 2;
/// Maximum clock offset in milliseconds: half of the clock drift allowed by the settings, which
/// bounds the difference between two clocks.
constexpr std::int64_t kMaxClockOffsetMs = 125;

} // namespace

OwnershipSimulation::OwnershipSimulation(std::uint64_t aSeed, std::size_t aNodes, Fencing aFencing)
  : mRandom(aSeed)
  , mSettings(ClusterSettings().WithFencing(aFencing))
{
  std::vector<VmDescription> vms;
  for (std::size_t rack = 0; rack < kRacks; ++rack) {
    for (const auto* name : { "a", "b" }) {
      const VmId vm(absl::StrCat("rack-", rack, "/", name));
      vms.push_back(
        VmDescription::Create({ .mVm = vm, .mRack = RackId(absl::StrCat("rack-", rack)) }).value());
      auto& server = mServers[vm];
      server.mServer.mComparesEpochs = aFencing == Fencing::Epoch;
      server.mClockOffset = RandomBetween(-kMaxClockOffsetMs, kMaxClockOffsetMs);
    }
  }
  mList = VmList::Create({ .mVms = vms }).value();
  mNodes.resize(aNodes);
  for (std::size_t it = 0; it < aNodes; ++it) {
    StartProcess(it);
  }
}

std::int64_t
OwnershipSimulation::RandomBetween(std::int64_t aFrom, std::int64_t aTo)
{
  const auto span = static_cast<std::uint64_t>(aTo - aFrom + 1);
  return aFrom + static_cast<std::int64_t>(mRandom() % span);
}

void
OwnershipSimulation::Schedule(std::int64_t aDelay, Action aAction)
{
  mQueue.emplace(mNow + Ms(aDelay), std::move(aAction));
}

void
OwnershipSimulation::DeliverToNode(std::size_t aNode, std::int64_t aDelay, Action aAction)
{
  const auto incarnation = mNodes[aNode]->mContext.mIncarnation;
  Schedule(aDelay, [this, aNode, incarnation, aAction] {
    const auto& node = *mNodes[aNode];
    if (!node.mAlive || node.mContext.mIncarnation != incarnation) {
      return;
    }
    if (mNow < node.mPausedUntil) {
      DeliverToNode(aNode, (node.mPausedUntil - mNow).Milliseconds(), aAction);
      return;
    }
    aAction();
  });
}

void
OwnershipSimulation::DeliverToServer(const VmId& aVm, std::int64_t aDelay, Action aAction)
{
  Schedule(aDelay, [this, aVm, aAction] {
    const auto resumeAt = mServers[aVm].mPausedUntil;
    if (mNow < resumeAt) {
      DeliverToServer(aVm, (resumeAt - mNow).Milliseconds(), aAction);
      return;
    }
    aAction();
  });
}

void
OwnershipSimulation::StartProcess(std::size_t aNode)
{
  mNodes[aNode] = std::make_unique<OwnershipNode>();
  auto& node = *mNodes[aNode];
  node.mClockOffset = RandomBetween(-kMaxClockOffsetMs, kMaxClockOffsetMs);
  node.mContext.mSelf = NodeId(absl::StrCat("node-", aNode));
  node.mContext.mIncarnation = ++mLastId;
  node.mContext.mLogState = &node.mLog;
  node.mContext.mMembership = &node.mMembership;
  node.mContext.mSettings = &mSettings;
  ObserveVmList(node.mMembership, mList, LocalTime(node));
  DeliverToNode(aNode, RandomBetween(0, 500), [this, aNode] { Tick(aNode); });
  DeliverToNode(aNode, RandomBetween(0, 200), [this, aNode] { ReadLog(aNode); });
}

void
OwnershipSimulation::Apply(const Fault& aFault)
{
  const auto target = aFault.mTarget % mNodes.size();
  auto& node = *mNodes[target];
  auto server =
    std::next(mServers.begin(), static_cast<std::ptrdiff_t>(aFault.mTarget % mServers.size()));
  const auto until = mNow + Ms(aFault.mDuration);
  switch (aFault.mKind) {
    case FaultKind::PauseNode:
      node.mPausedUntil = until;
      break;
    case FaultKind::KillNode:
      node.mAlive = false;
      Schedule(aFault.mDuration, [this, target] { StartProcess(target); });
      break;
    case FaultKind::ReplaceNode:
      StartProcess(target);
      break;
    case FaultKind::PartitionNodeFromLog:
      node.mLogPartitionedUntil = until;
      break;
    case FaultKind::PartitionNodeFromPeers:
      node.mPeersPartitionedUntil = until;
      break;
    case FaultKind::IsolateNode:
      node.mLogPartitionedUntil = until;
      node.mPeersPartitionedUntil = until;
      break;
    case FaultKind::PartitionNodeFromServers:
      node.mServersPartitionedUntil = until;
      break;
    case FaultKind::LogDown:
      mLogDownUntil = until;
      break;
    case FaultKind::PauseServer:
      server->second.mPausedUntil = until;
      break;
    case FaultKind::ReplaceServer: {
      const bool compares = server->second.mServer.mComparesEpochs;
      server->second.mServer =
        BackendFake{ .mComparesEpochs = compares, .mIncarnation = ++mLastId };
      break;
    }
    case FaultKind::DrainNode:
      node.mContext.mDraining = true;
      Schedule(aFault.mDuration, [this, target] { StartProcess(target); });
      break;
  }
}

void
OwnershipSimulation::Tick(std::size_t aNode)
{
  auto& node = *mNodes[aNode];
  const auto now = LocalTime(node);
  node.mContext.mLogFresh =
    node.mContext.mLogReadAt > Time() && now - node.mContext.mLogReadAt <= Ms(3000);
  PerformActions(aNode, StepOwnership(node.mOwnership, node.mContext, now));
  SendHeartbeats(aNode);
  DeliverToNode(aNode, 500, [this, aNode] { Tick(aNode); });
}

void
OwnershipSimulation::SendHeartbeats(std::size_t aNode)
{
  auto& node = *mNodes[aNode];
  const auto heartbeat =
    Heartbeat::Create({ .mNode = node.mContext.mSelf,
                        .mIncarnation = node.mContext.mIncarnation,
                        .mSequence = ++node.mHeartbeatSequence,
                        .mReady = !node.mContext.mDraining,
                        .mLeaving = node.mContext.mDraining,
                        .mAppliedOffset = node.mLog.mNextOffset,
                        .mLogReadAge = LocalTime(node) - node.mContext.mLogReadAt })
      .value();
  for (std::size_t it = 0; it < mNodes.size(); ++it) {
    const bool partitioned =
      mNow < node.mPeersPartitionedUntil || mNow < mNodes[it]->mPeersPartitionedUntil;
    if (it == aNode || partitioned || Chance(3)) {
      continue;
    }
    // Delays stay below the suspicion timeout; LEASE_TIMEOUT fencing assumes that no heartbeat is
    // later than that.
    const auto delay = Chance(3) ? RandomBetween(200, 1900) : RandomBetween(1, 5);
    DeliverToNode(it, delay, [this, it, heartbeat] {
      ObserveHeartbeat(mNodes[it]->mMembership, heartbeat, LocalTime(*mNodes[it]));
    });
  }
}

void
OwnershipSimulation::ReadLog(std::size_t aNode)
{
  const auto& node = *mNodes[aNode];
  const auto sentAt = LocalTime(node);
  const bool reached = mNow >= mLogDownUntil && mNow >= node.mLogPartitionedUntil && !Chance(2);
  if (reached) {
    const auto end = mLog.size();
    DeliverToNode(aNode, Delay(), [this, aNode, sentAt, end] {
      auto& reader = *mNodes[aNode];
      for (auto it = reader.mLog.mNextOffset; it < end; ++it) {
        ApplyEntry(reader.mLog, mLog[it]);
      }
      HandleLogRead(aNode, sentAt);
    });
  }
  DeliverToNode(aNode, RandomBetween(100, 600), [this, aNode] { ReadLog(aNode); });
}

void
OwnershipSimulation::HandleLogRead(std::size_t aNode, Time aSentAt)
{
  auto& node = *mNodes[aNode];
  node.mContext.mLogReadAt = std::max(node.mContext.mLogReadAt, aSentAt);
  const auto now = LocalTime(node);
  node.mContext.mLogFresh = now - node.mContext.mLogReadAt <= Ms(3000);
  PerformActions(aNode, StepOwnership(node.mOwnership, node.mContext, now));
}

void
OwnershipSimulation::AppendRecords(std::size_t aNode, const LogRecordBody& aBody)
{
  const auto id = absl::StrCat("record-", ++mLastId);
  const int times = Chance(5) ? 2 : 1;
  for (int it = 0; it < times; ++it) {
    Schedule(Delay(), [this, aNode, aBody, id] {
      // The answer to an append is not simulated: the log itself shows what took effect.
      if (mNow < mLogDownUntil || mNow < mNodes[aNode]->mLogPartitionedUntil) {
        return;
      }
      mLog.push_back(EntryAt(mLog.size(), mNow, aBody, id));
    });
  }
}

void
OwnershipSimulation::SendLeaseTo(std::size_t aNode, const SendLease& aLease)
{
  const auto sentAt = LocalTime(*mNodes[aNode]);
  const auto vm = aLease.Vm();
  const auto request = aLease.Request();
  if (mNow < mNodes[aNode]->mServersPartitionedUntil || Chance(3)) {
    DeliverToNode(aNode, 2000, [this, aNode, vm] {
      auto& node = *mNodes[aNode];
      ObserveLeaseFailure(node.mOwnership, node.mContext, vm, LocalTime(node));
    });
    return;
  }
  DeliverToServer(vm, Delay(), [this, aNode, vm, request, sentAt] {
    auto& server = mServers[vm];
    const auto grant = server.mServer.Answer(request, ServerTime(server));
    if (!grant || Chance(3)) {
      return;
    }
    const auto answer = LeaseAnswered::Create(
      { .mVm = vm, .mEpoch = request.Epoch(), .mSentAt = sentAt, .mGrant = *grant });
    DeliverToNode(aNode, Delay(), [this, aNode, answer, sentAt] {
      auto& node = *mNodes[aNode];
      PerformActions(
        aNode, ObserveLease(node.mOwnership, node.mContext, *answer, LocalTime(node)), sentAt);
    });
  });
}

void
OwnershipSimulation::PerformActions(std::size_t aNode,
                                    const OwnershipActions& aActions,
                                    Time aRequestSentAt)
{
  auto& node = *mNodes[aNode];
  for (const auto& vm : aActions.mLost) {
    node.mRevokedTasks[vm] = node.mKnownTasks[vm];
    node.mKnownTasks.erase(vm);
  }
  for (const auto& vm : aActions.mTasksLost) {
    auto& server = mServers[vm];
    server.mServer.Lapse(ServerTime(server));
    for (const auto& task : server.mServer.mTasks) {
      if (node.mRevokedTasks[vm].contains(task.Task().Text())) {
        ReportViolation(absl::StrCat(task.Task().Text(), " is running after it was reported lost"));
      }
    }
  }
  for (const auto& vm : aActions.mGained) {
    node.mKnownTasks[vm.Vm()].clear();
    std::erase_if(node.mPendingStarts[vm.Vm()],
                  [&](const auto& aStart) { return aStart.second < aRequestSentAt; });
  }
  for (const auto& adopted : aActions.mInventory) {
    node.mKnownTasks[adopted.Vm()].insert(adopted.Status().Task().Text());
  }
  for (const auto& record : aActions.mRecords) {
    AppendRecords(aNode, record);
  }
  for (const auto& lease : aActions.mLeases) {
    SendLeaseTo(aNode, lease);
  }
  StartTasks(aNode);
}

void
OwnershipSimulation::StartTasks(std::size_t aNode)
{
  auto& node = *mNodes[aNode];
  const auto now = LocalTime(node);
  for (const auto& [vm, server] : mServers) {
    const auto epoch = AuthorityOn(node.mOwnership, vm, now, mSettings);
    if (!epoch) {
      continue;
    }
    auto& pendingStarts = node.mPendingStarts[vm];
    std::erase_if(pendingStarts,
                  [&](const auto& aStart) { return node.mKnownTasks[vm].contains(aStart.first); });
    const bool unanswered = std::any_of(pendingStarts.begin(),
                                        pendingStarts.end(),
                                        [&](const auto& aStart) { return aStart.second < now; });
    if (unanswered) {
      PerformActions(aNode, RefreshInventory(node.mOwnership, node.mContext, vm, now));
      continue;
    }
    while (node.mKnownTasks[vm].size() + node.mPendingStarts[vm].size() < kSlotsPerServer) {
      SendStartTo(aNode, vm, *epoch);
    }
  }
}

void
OwnershipSimulation::SendStartTo(std::size_t aNode, const VmId& aVm, std::uint64_t aEpoch)
{
  auto& node = *mNodes[aNode];
  const auto now = LocalTime(node);
  const auto notAfter = StartDeadline(node.mOwnership, aVm, now, mSettings);
  const auto task = absl::StrCat("task-", ++mLastId);
  const auto start = TaskStart::Create({ .mTask = TaskId(task),
                                         .mEpoch = aEpoch,
                                         .mNotAfter = notAfter,
                                         .mIncarnation = ServerIncarnation(node.mOwnership, aVm) })
                       .value();
  node.mPendingStarts[aVm][task] = notAfter + Ms(2 * kMaxClockOffsetMs);
  if (Chance(3)) {
    return;
  }
  DeliverToServer(aVm, Delay(), [this, aNode, aVm, start] {
    auto& server = mServers[aVm];
    if (!server.mServer.Start(start, ServerTime(server))) {
      return;
    }
    mStartedTasks += 1;
    const auto name = start.Task().Text();
    Schedule(RandomBetween(500, 15000), [this, aVm, name] { EndTask(aVm, name); });
    DeliverToNode(aNode, Delay(), [this, aNode, aVm, name] {
      auto& starter = *mNodes[aNode];
      if (starter.mPendingStarts[aVm].erase(name) > 0) {
        starter.mKnownTasks[aVm].insert(name);
      }
    });
  });
}

void
OwnershipSimulation::EndTask(const VmId& aVm, const std::string& aTask)
{
  auto& tasks = mServers[aVm].mServer.mTasks;
  std::erase_if(tasks, [&](const TaskStatus& aStatus) { return aStatus.Task().Text() == aTask; });
  for (std::size_t it = 0; it < mNodes.size(); ++it) {
    DeliverToNode(it, Delay(), [this, it, aVm, aTask] {
      mNodes[it]->mKnownTasks[aVm].erase(aTask);
      mNodes[it]->mPendingStarts[aVm].erase(aTask);
    });
  }
}

void
OwnershipSimulation::ReportViolation(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = absl::StrCat("at ", (mNow - Ms(1000000)).Milliseconds(), ": ", aText);
  }
}

void
OwnershipSimulation::CheckInvariants()
{
  for (auto& [vm, server] : mServers) {
    server.mServer.Lapse(ServerTime(server));
    if (server.mServer.mTasks.size() > kSlotsPerServer) {
      ReportViolation(absl::StrCat(vm.Text(), " runs more tasks than it has slots"));
    }
    std::string placers;
    int count = 0;
    for (const auto& node : mNodes) {
      const auto epoch = AuthorityOn(node->mOwnership, vm, LocalTime(*node), mSettings);
      const bool fenced = server.mServer.mComparesEpochs && epoch && *epoch < server.mServer.mEpoch;
      const bool forThisServer =
        ServerIncarnation(node->mOwnership, vm) == server.mServer.mIncarnation;
      if (node->mAlive && epoch && forThisServer && !fenced) {
        count += 1;
        absl::StrAppend(&placers, " ", node->mContext.mSelf.Text(), "@", *epoch);
      }
    }
    if (count > 1) {
      ReportViolation(absl::StrCat(vm.Text(), " has several owners:", placers));
    }
  }
}

std::size_t
OwnershipSimulation::PlaceableVms(std::int64_t aDuration)
{
  std::set<VmId> placeable;
  for (const auto end = mNow + Ms(aDuration); mNow < end;) {
    Run({}, 500);
    for (const auto& [vm, server] : mServers) {
      for (const auto& node : mNodes) {
        if (AuthorityOn(node->mOwnership, vm, LocalTime(*node), mSettings)) {
          placeable.insert(vm);
        }
      }
    }
  }
  return placeable.size();
}

std::string
OwnershipSimulation::Run(const std::vector<Fault>& aFaults, std::int64_t aDuration)
{
  for (const auto& fault : aFaults) {
    Schedule(fault.mAt, [this, fault] { Apply(fault); });
  }
  const auto end = mNow + Ms(aDuration);
  while (!mQueue.empty() && mQueue.begin()->first < end && mViolation.empty()) {
    const auto it = mQueue.begin();
    mNow = it->first;
    const auto action = std::move(it->second);
    mQueue.erase(it);
    action();
    CheckInvariants();
  }
  std::map<std::uint64_t, LogStateImage> images;
  for (const auto& node : mNodes) {
    const auto image = ImageOf(node->mLog);
    if (images.try_emplace(node->mLog.mNextOffset, image).first->second != image) {
      ReportViolation("two nodes folded the same log into different states");
    }
  }
  return mViolation;
}

} // namespace by::test
