#include "by_intents/IntentSimulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_intents/detail/ResourceArithmetic.h"

namespace by::test {

namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kRacks = 3;
constexpr int kMaxIntents = 10;
constexpr Time kLeaseTtl = Time::FromSeconds(3);
constexpr Time kClockDrift = Time::FromMilliseconds(100);
constexpr Time kCallTimeout = Time::FromMilliseconds(500);
constexpr Time kLeaseLossTimeout = Time::FromSeconds(2);

Resources
Size(std::int64_t aCpu)
{
  return Resources::Create({ .mCpuMillis = aCpu, .mMemoryMb = 100, .mSlots = 1 }).value();
}

RackId
RackAt(std::size_t aIndex)
{
  return RackId(absl::StrCat("r", aIndex % kRacks));
}

} // namespace

Simulation::Simulation()
{
  for (std::size_t n = 0; n < kNodes; ++n) {
    Node node;
    node.mId = NodeId(absl::StrCat("n", n));
    mNodes.push_back(std::move(node));
  }
  for (std::size_t n = 0; n < kRacks * 2; ++n) {
    const VmId vm(absl::StrCat("v", n));
    mServers[vm].mRack = RackAt(n);
    mVms.push_back(
      VmDescription::Create(
        { .mVm = vm,
          .mRack = RackAt(n),
          .mZone = ZoneId(absl::StrCat("z", n % 2)),
          .mCapacity =
            Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 4000, .mSlots = 4 }).value() })
        .value());
  }
  std::vector<TeamConfig> teams;
  for (const auto* team : { "t0", "t1" }) {
    teams.push_back(
      TeamConfig::Create(
        { .mTeam = TeamId(team), .mQuota = Resources::Create({ .mCpuMillis = 7000 }).value() })
        .value());
  }
  mConfig = ConfigDocument::Create({ .mTeams = std::move(teams) }).value();
  for (std::size_t n = 0; n < kRacks; ++n) {
    ClaimRack(n, RackAt(n));
  }
}

void
Simulation::RecordViolation(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText;
  }
}

void
Simulation::FoldOne(Node& aNode, const LogEntry& aEntry)
{
  const auto& body = aEntry.Record().Body();
  if (const auto* claim = std::get_if<RackClaim>(&body)) {
    auto& owner = aNode.mOwners[claim->Rack()];
    if (owner.Epoch() == claim->PreviousEpoch()) {
      owner = RackOwner::Create({ .mRack = claim->Rack(),
                                  .mNode = claim->Node(),
                                  .mIncarnation = claim->Incarnation(),
                                  .mEpoch = claim->PreviousEpoch() + 1 })
                .value();
    }
    return;
  }
  std::uint64_t epoch = 0;
  if (const auto* reports = std::get_if<TaskReports>(&body)) {
    epoch = aNode.mOwners[reports->Rack()].Epoch();
  }
  ApplyIntentEntry(aNode.mTable, aEntry, { .mRackEpoch = epoch, .mConfig = &mConfig });
}

void
Simulation::Append(LogRecord aRecord)
{
  auto entry =
    LogEntry::Create({ .mOffset = mLog.size(), .mAt = mNow, .mRecord = std::move(aRecord) })
      .value();
  FoldOne(mReference, entry);
  if (const auto* decision = std::get_if<GangDecision>(&entry.Record().Body())) {
    const auto* intent = FindIntent(mReference.mTable, decision->Intent());
    if (intent != nullptr && intent->mProgress.GangStarted()) {
      mStartedRounds.emplace(decision->Intent(), intent->mProgress.Round());
    }
  }
  mLog.push_back(std::move(entry));
}

template<class Body>
void
Simulation::Append(Body aBody)
{
  Append(LogRecord::Create({ .mBody = std::move(aBody) }).value());
}

void
Simulation::ClaimRack(std::size_t aNode, const RackId& aRack)
{
  const auto& node = mNodes[aNode];
  Append(RackClaim::Create({ .mRack = aRack,
                             .mNode = node.mId,
                             .mIncarnation = node.mIncarnation,
                             .mPreviousEpoch = mReference.mOwners[aRack].Epoch() })
           .value());
}

void
Simulation::Advance(std::int64_t aMilliseconds)
{
  mNow = mNow + Time::FromMilliseconds(aMilliseconds);
  for (auto& [vm, server] : mServers) {
    if (server.mLeaseUntil <= mNow) {
      server.mRunningTasks.clear();
    }
  }
}

bool
Simulation::IsRackReconciled(const Node& aNode, const RackId& aRack, std::uint64_t aEpoch) const
{
  return std::all_of(mServers.begin(), mServers.end(), [&](const auto& aItem) {
    const auto& [vm, server] = aItem;
    const auto lease = aNode.mLeases.find(vm);
    const bool answered = lease != aNode.mLeases.end() && lease->second.mEpoch == aEpoch;
    return server.mRack != aRack || server.mCrashed || answered;
  });
}

void
Simulation::StepNode(std::size_t aNode, bool aFoldWholeLog)
{
  auto& node = mNodes[aNode];
  auto end = mLog.size();
  if (!aFoldWholeLog && end > node.mFolded) {
    end = node.mFolded + (end - node.mFolded + 1) / 2;
  }
  for (; node.mFolded < end; ++node.mFolded) {
    FoldOne(node, mLog[node.mFolded]);
  }
  RackTasksContext context{ .mSelf = node.mId, .mRacks = {}, .mClockDrift = kClockDrift };
  std::vector<RackOwner> owners;
  for (const auto& [rack, owner] : node.mOwners) {
    owners.push_back(owner);
    if (owner.Node() == node.mId && owner.Incarnation() == node.mIncarnation) {
      context.mRacks.push_back(
        { rack, owner.Epoch(), IsRackReconciled(node, rack, owner.Epoch()) });
    }
  }
  ApplyActions(aNode, StepRackTasks(node.mTasks, node.mTable, context, mNow));
  PlaceQueuedTasks(node);
  ApplyActions(aNode, StepRackTasks(node.mTasks, node.mTable, context, mNow));
  IntentContext intents;
  intents.mSelf = node.mId;
  for (const auto& other : mNodes) {
    intents.mLive.push_back(other.mId);
  }
  intents.mVms = &mVms;
  intents.mOwners = &owners;
  intents.mConfig = &mConfig;
  intents.mLogFresh = true;
  for (auto& record : StepController(node.mController, node.mTable, intents, mNow)) {
    std::visit([this](auto& aBody) { mPendingEffects.push_back([this, aBody] { Append(aBody); }); },
               record);
  }
}

void
Simulation::ApplyActions(std::size_t aNode, RackTaskActions aActions)
{
  auto& node = mNodes[aNode];
  for (const auto& list : { aActions.mCancels, aActions.mFinished }) {
    for (const auto& task : list) {
      node.mReservations.erase(task);
      std::erase_if(node.mQueue, [&](const WorkItem& aItem) { return aItem.Task() == task; });
    }
  }
  for (auto& offer : aActions.mOffers) {
    node.mQueue.push_back(std::move(offer));
  }
  for (const auto& reports : aActions.mReports) {
    mPendingEffects.push_back([this, reports] { Append(reports); });
  }
  for (const auto& start : aActions.mStarts) {
    SendStart(aNode, start);
  }
  for (const auto& stop : aActions.mStops) {
    mPendingEffects.push_back([this, stop] {
      auto& server = mServers[stop.mVm];
      const auto run = server.mRunningTasks.find(stop.mCommand.Task());
      if (run != server.mRunningTasks.end() && stop.mCommand.Epoch() == server.mEpoch) {
        server.mEndedTasks[run->first] =
          TaskStatus::Create({ .mTask = run->first,
                               .mGeneration = run->second.mGeneration,
                               .mState = TaskState::Stopped,
                               .mDetached = true })
            .value();
        server.mRunningTasks.erase(run);
      }
    });
  }
  for (const auto& ended : aActions.mAcknowledged) {
    mPendingEffects.push_back(
      [this, ended] { mServers[ended.mVm].mEndedTasks.erase(ended.mTask); });
  }
}

void
Simulation::PlaceQueuedTasks(Node& aNode)
{
  for (const auto& item : std::exchange(aNode.mQueue, {})) {
    bool placed = false;
    for (const auto& vm : mVms) {
      auto committed = item.Resources();
      for (const auto& [task, reservation] : aNode.mReservations) {
        committed =
          reservation.mVm == vm.Vm() ? detail::Add(committed, reservation.mResources) : committed;
      }
      const bool usable = aNode.mLeases[vm.Vm()].mVmLostUntil <= mNow;
      if (vm.Rack() == item.Rack() && usable && detail::FitsWithin(committed, vm.Capacity())) {
        const auto work = PlacedWork::Create({ .mTask = item.Task(), .mVm = vm.Vm() }).value();
        if (ObservePlaced(aNode.mTasks, work, mNow)) {
          aNode.mReservations[item.Task()] = { vm.Vm(), item.Resources() };
        }
        placed = true;
        break;
      }
    }
    if (!placed) {
      aNode.mQueue.push_back(item);
    }
  }
}

void
Simulation::SendStart(std::size_t aNode, const IntentTaskStart& aStart)
{
  const auto incarnation = mNodes[aNode].mIncarnation;
  mPendingEffects.push_back([this, aNode, aStart, incarnation] {
    const auto& vm = aStart.mVm;
    const auto& server = mServers[vm];
    const bool reached = !server.mCrashed && !server.mUnreachable;
    const auto result = reached ? StartOn(vm, aStart.mStart) : TaskResult();
    mPendingEffects.push_back([this, aNode, vm, result, reached, aStart, incarnation] {
      auto& node = mNodes[aNode];
      if (node.mIncarnation != incarnation) {
        return;
      }
      if (reached) {
        ObserveTaskResult(node.mTasks, vm, result, mNow);
      } else {
        const auto& start = aStart.mStart;
        ObserveUnanswered(
          node.mTasks, vm, start.Task(), start.Generation(), true, "unreachable", mNow);
      }
    });
  });
}

TaskResult
Simulation::StartOn(const VmId& aVm, const TaskStart& aStart)
{
  auto& server = mServers[aVm];
  TaskResult::Fields result{ .mTask = aStart.Task(), .mGeneration = aStart.Generation() };
  const bool fenced =
    aStart.Epoch() != server.mEpoch || server.mLeaseUntil <= mNow || aStart.NotAfter() < mNow;
  if (fenced) {
    result.mState = TaskState::NotStarted;
    return TaskResult::Create(result).value();
  }
  CheckStart(aVm, aStart);
  server.mRunningTasks[aStart.Task()] = { aStart.Generation(), aStart.Resources(), aStart.Team() };
  Resources usage;
  for (const auto& [task, run] : server.mRunningTasks) {
    usage = detail::Add(usage, run.mResources);
  }
  if (!detail::FitsWithin(usage, mVms[0].Capacity())) {
    RecordViolation(absl::StrCat(aVm.Text(), " is over-committed"));
  }
  CheckQuota();
  return TaskResult::Create(result).value();
}

void
Simulation::CheckStart(const VmId& aVm, const TaskStart& aStart)
{
  const auto key = *TaskKeyOf(aStart.Task());
  for (const auto& [vm, server] : mServers) {
    if (server.mRunningTasks.contains(aStart.Task())) {
      RecordViolation(
        absl::StrCat(aStart.Task().Text(), " starts on ", aVm.Text(), " and runs on ", vm.Text()));
    }
  }
  if (!aStart.Idempotent() && !mNonIdempotentRuns.insert(aStart.Task()).second) {
    RecordViolation(absl::StrCat(aStart.Task().Text(), " is not idempotent and runs again"));
  }
  if (aStart.WorkClass() == WorkClass::Gang &&
      !mStartedRounds.contains({ key.mIntent, aStart.Generation() })) {
    RecordViolation(absl::StrCat(aStart.Task().Text(), " starts without the rest of its gang"));
  }
}

void
Simulation::CheckQuota()
{
  std::map<TeamId, Resources> usage;
  for (const auto& [vm, server] : mServers) {
    for (const auto& [task, run] : server.mRunningTasks) {
      usage[run.mTeam] = detail::Add(usage[run.mTeam], run.mResources);
    }
  }
  for (const auto& team : mConfig.Teams()) {
    if (!detail::WithinQuota(usage[team.Team()], team.Quota())) {
      RecordViolation(absl::StrCat(team.Team().Text(), " exceeds its quota"));
    }
  }
}

void
Simulation::RenewLeases(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  for (const auto& vm : mVms) {
    const auto& owner = node.mOwners[vm.Rack()];
    auto& lease = node.mLeases[vm.Vm()];
    if (owner.Node() != node.mId || owner.Incarnation() != node.mIncarnation ||
        lease.mVmLostUntil > mNow) {
      continue;
    }
    const bool isUnresponsive =
      lease.mEpoch == owner.Epoch() && lease.mLastGrant + kLeaseLossTimeout < mNow;
    if (isUnresponsive && lease.mLastGrant != Time() && lease.mVmLostUntil < lease.mLastSent) {
      lease.mVmLostUntil = lease.mLastSent + kCallTimeout + kLeaseTtl + kClockDrift;
      ObserveVmLost(node.mTasks, vm.Vm(), lease.mVmLostUntil);
    } else {
      SendLease(aNode, vm.Vm(), lease, owner.Epoch());
    }
  }
}

void
Simulation::SendLease(std::size_t aNode, const VmId& aVm, Lease& aLease, std::uint64_t aEpoch)
{
  aLease.mLastSent = mNow;
  const auto incarnation = mNodes[aNode].mIncarnation;
  mPendingEffects.push_back([this, aNode, aVm, aEpoch, incarnation, sent = mNow] {
    auto& server = mServers[aVm];
    if (server.mCrashed || server.mUnreachable || aEpoch < server.mEpoch ||
        sent + kCallTimeout < mNow) {
      return;
    }
    server.mEpoch = aEpoch;
    server.mLeaseUntil = mNow + kLeaseTtl;
    std::vector<TaskStatus> inventory;
    for (const auto& [task, run] : server.mRunningTasks) {
      inventory.push_back(
        TaskStatus::Create({ .mTask = task, .mGeneration = run.mGeneration, .mDetached = true })
          .value());
    }
    for (const auto& [task, status] : server.mEndedTasks) {
      if (!server.mRunningTasks.contains(task)) {
        inventory.push_back(status);
      }
    }
    mPendingEffects.push_back([this, aNode, aVm, aEpoch, incarnation, sent, inventory] {
      auto& node = mNodes[aNode];
      const auto& owner = node.mOwners[mServers[aVm].mRack];
      const bool current = node.mIncarnation == incarnation && owner.Epoch() == aEpoch &&
                           node.mLeases[aVm].mLastGrant <= sent;
      if (!current) {
        return;
      }
      node.mLeases[aVm].mEpoch = aEpoch;
      node.mLeases[aVm].mLastGrant = sent;
      ObserveInventory(node.mTasks, aVm, mServers[aVm].mRack, inventory, sent, kClockDrift, mNow);
      for (const auto& status : inventory) {
        const auto* intent = FindIntent(node.mTable, TaskKeyOf(status.Task())->mIntent);
        if (status.State() == TaskState::Running && intent != nullptr) {
          node.mReservations[status.Task()] = { aVm, intent->mPlan.Spec().Resources() };
        }
      }
    });
  });
}

void
Simulation::EndTask(std::uint32_t aChoice, TaskState aState)
{
  auto it = mServers.begin();
  std::advance(it, aChoice % mServers.size());
  auto& server = it->second;
  if (server.mRunningTasks.empty()) {
    return;
  }
  const auto run = server.mRunningTasks.begin();
  server.mEndedTasks[run->first] = TaskStatus::Create({ .mTask = run->first,
                                                        .mGeneration = run->second.mGeneration,
                                                        .mState = aState,
                                                        .mDetached = true })
                                     .value();
  server.mRunningTasks.erase(run);
}

void
Simulation::DeliverEffect(std::uint32_t aChoice)
{
  if (mPendingEffects.empty()) {
    return;
  }
  // Mostly delivers old effects first, as in a network, and sometimes any effect.
  const auto span =
    aChoice % 4 == 0 ? mPendingEffects.size() : std::min<std::size_t>(mPendingEffects.size(), 4);
  const auto it = mPendingEffects.begin() + static_cast<std::ptrdiff_t>((aChoice / 4) % span);
  const auto effect = *it;
  mPendingEffects.erase(it);
  effect();
}

void
Simulation::InjectFault(std::uint32_t aChoice)
{
  const auto pick = aChoice / 8;
  auto vm = mServers.begin();
  std::advance(vm, pick % mServers.size());
  auto& server = vm->second;
  switch (aChoice % 8) {
    case 0: {
      auto& node = mNodes[pick % kNodes];
      Node fresh;
      fresh.mId = node.mId;
      fresh.mIncarnation = node.mIncarnation + 1;
      node = std::move(fresh);
      break;
    }
    case 1:
    case 2:
      ClaimRack(pick % kNodes, RackAt(pick / kNodes));
      break;
    case 3:
      server.mCrashed = true;
      server.mRunningTasks.clear();
      server.mEndedTasks.clear();
      break;
    case 4:
      server.mCrashed = false;
      break;
    case 5:
      server.mUnreachable = true;
      break;
    case 6:
      server.mUnreachable = false;
      break;
    default:
      if (!mPendingEffects.empty()) {
        mPendingEffects.erase(mPendingEffects.begin() +
                              static_cast<std::ptrdiff_t>(pick % mPendingEffects.size()));
      }
      break;
  }
}

void
Simulation::ApplyOperatorAction(std::uint32_t aChoice)
{
  if (aChoice % 3 == 0 && mIntents > 0) {
    const IntentId id(absl::StrCat("i", (aChoice / 3) % static_cast<std::uint32_t>(mIntents)));
    const auto* intent = FindIntent(mReference.mTable, id);
    if (intent != nullptr) {
      Append(IntentCancel::Create({ .mIntent = id, .mTeam = intent->mPlan.Spec().Team() }).value());
    }
    return;
  }
  if (mIntents >= kMaxIntents) {
    return;
  }
  constexpr WorkClass kClasses[] = { WorkClass::Batch, WorkClass::Gang, WorkClass::Service };
  const IntentId id(absl::StrCat("i", mIntents++));
  const auto spec = IntentSpec::Create({ .mName = "work",
                                         .mTeam = TeamId(absl::StrCat("t", aChoice % 2)),
                                         .mWorkClass = kClasses[(aChoice / 3) % 3],
                                         .mTasks = 1 + (aChoice / 9) % 4,
                                         .mResources = Size(1000 + (aChoice / 36) % 2 * 500),
                                         .mMaxAttempts = 3,
                                         .mIdempotent = (aChoice / 72) % 3 != 0 })
                      .value();
  Append(MakePlan(mReference.mTable, spec, id, mVms, mConfig, mNow, Time::FromSeconds(60)));
  Append(IntentConfirm::Create({ .mIntent = id, .mTeam = spec.Team() }).value());
}

void
Simulation::ApplyRandomEvent(std::uint32_t aChoice)
{
  const auto rest = aChoice / 16;
  switch (aChoice % 16) {
    case 0:
    case 1:
      Advance(rest % 300);
      break;
    case 2:
    case 3:
    case 4:
    case 5:
      StepNode(rest % kNodes, rest % 5 != 0);
      break;
    case 6:
    case 7:
      RenewLeases(rest % kNodes);
      break;
    case 8:
      InjectFault(rest);
      break;
    case 9:
      ApplyOperatorAction(rest);
      break;
    case 10:
      EndTask(rest, rest % 7 == 0 ? TaskState::Failed : TaskState::Succeeded);
      break;
    case 11:
      if (!mLog.empty()) {
        // Simulates a retried append of a record that was appended before.
        Append(mLog[rest % mLog.size()].Record());
      }
      break;
    default:
      for (int n = 0; n < 4; ++n) {
        DeliverEffect(rest + static_cast<std::uint32_t>(n));
      }
      break;
  }
}

std::string
Simulation::UnfinishedIntent() const
{
  for (const auto& [id, intent] : mReference.mTable.mIntents) {
    const auto state = intent.mProgress.State();
    const bool service = intent.mPlan.Spec().WorkClass() == WorkClass::Service;
    const bool ended = state == IntentState::Succeeded || state == IntentState::Failed ||
                       state == IntentState::Cancelled;
    if (intent.mProgress.Confirmed() && !ended && !service) {
      return absl::StrCat(id.Text(), " has not ended; ", intent.mLive, " of its tasks are live");
    }
  }
  return {};
}

std::string
Simulation::RunToCompletion()
{
  for (auto& [vm, server] : mServers) {
    server.mCrashed = false;
    server.mUnreachable = false;
  }
  for (std::size_t n = 0; n < kRacks; ++n) {
    ClaimRack(n, RackAt(n));
  }
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds && mViolation.empty(); ++round) {
    Advance(200);
    for (std::size_t n = 0; n < kNodes; ++n) {
      StepNode(n, true);
      RenewLeases(n);
    }
    while (!mPendingEffects.empty()) {
      const auto effect = mPendingEffects.front();
      mPendingEffects.erase(mPendingEffects.begin());
      effect();
    }
    if (round % 10 == 0) {
      for (std::uint32_t n = 0; n < mServers.size(); ++n) {
        EndTask(n, TaskState::Succeeded);
      }
      if (UnfinishedIntent().empty()) {
        return mViolation;
      }
    }
  }
  return mViolation.empty() ? UnfinishedIntent() : mViolation;
}

} // namespace by::test
