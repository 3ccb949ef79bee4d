#include "Replay.h"

#include <queue>

#include "absl/container/flat_hash_map.h"

#include "by_placement/ResourceMath.h"
#include "by_scheduling/by_scheduling.h"

namespace by {

namespace {

constexpr Time kTick = Time::FromMilliseconds(100);
constexpr Time kSampleEvery = Time::FromMilliseconds(200);
/// How long a checkpoint takes until the room is free.
constexpr Time kCheckpointTakes = Time::FromMilliseconds(200);

enum class EventKind
{
  Ended,
  GaveWay,
  Cancelled,
  Arrived,
  Sampled,
  Ticked,
};

struct Event
{
  Time mAt{};
  EventKind mKind{ EventKind::Ticked };
  std::size_t mIndex{ 0 };
  std::uint64_t mRun{ 0 };

  friend auto operator<=>(const Event&, const Event&) = default;
};

/// A task as the replay knows it.
struct ReplayTask
{
  std::string mVm{};
  Time mSince{};
  Time mLeft{};
  std::uint64_t mRun{ 0 };
  bool mRunning{ false };
  bool mWaiting{ false };
};

struct ReplayState
{
  const ArrivalList* mList{ nullptr };
  Scheduler mScheduler{};
  SchedulingPolicy mPolicy{};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents{};
  std::vector<ReplayTask> mTasks{};
  absl::flat_hash_map<TaskId, std::size_t> mIndexOf{};
  absl::flat_hash_map<TeamId, std::size_t> mTeamOf{};
  absl::flat_hash_map<std::string, Resources> mFree{};
  ReplaySample mNow{};
  ReplayResult mResult{};
  std::size_t mOpen{ 0 };
};

const WorkItem&
ItemOf(const ReplayState& aState, std::size_t aIndex)
{
  return aState.mList->mArrivals[aIndex].mItem;
}

std::size_t
TeamIndex(const ReplayState& aState, std::size_t aIndex)
{
  return aState.mTeamOf.at(ItemOf(aState, aIndex).Team());
}

void
SetWaiting(ReplayState& aState, std::size_t aIndex, bool aWaiting)
{
  auto& task = aState.mTasks[aIndex];
  if (task.mWaiting == aWaiting) {
    return;
  }
  task.mWaiting = aWaiting;
  const auto taken = EffectiveDemandOf(ItemOf(aState, aIndex).Resources());
  auto& waiting = aState.mNow.mWaiting;
  waiting = aWaiting ? Plus(waiting, taken) : Minus(waiting, taken);
  aState.mNow.mWaitingByTeam[TeamIndex(aState, aIndex)] += aWaiting ? 1 : -1;
}

void
CountUse(ReplayState& aState, std::size_t aIndex, bool aTakes)
{
  const auto taken = EffectiveDemandOf(ItemOf(aState, aIndex).Resources());
  const auto change = aTakes ? taken : Minus(Resources(), taken);
  auto& room = aState.mFree.at(aState.mTasks[aIndex].mVm);
  room = Minus(room, change);
  aState.mResult.mOverCapacity += Fits(Resources(), room) ? 0 : 1;
  aState.mNow.mUsed = Plus(aState.mNow.mUsed, change);
  auto& team = aState.mNow.mUsedByTeam[TeamIndex(aState, aIndex)];
  team = Plus(team, change);
}

void
Start(ReplayState& aState, const PlacedWork& aPlaced, Time aNow)
{
  const auto index = aState.mIndexOf.at(aPlaced.Task());
  auto& task = aState.mTasks[index];
  SetWaiting(aState, index, false);
  task.mVm = aPlaced.Vm().Text();
  task.mSince = aNow;
  task.mRunning = true;
  ++task.mRun;
  CountUse(aState, index, true);
  auto& result = aState.mResult.mTasks[index];
  result.mStarted = std::min(result.mStarted, aNow);
  aState.mEvents.push(
    { .mAt = aNow + task.mLeft, .mKind = EventKind::Ended, .mIndex = index, .mRun = task.mRun });
}

void
Take(ReplayState& aState, const ScheduleOutcome& aOutcome, Time aNow)
{
  for (const auto& placed : aOutcome.mPlaced) {
    Start(aState, placed, aNow);
  }
  for (const auto& refused : aOutcome.mRefused) {
    const auto index = aState.mIndexOf.at(refused.Task());
    SetWaiting(aState, index, false);
    aState.mResult.mTasks[index].mReason = refused.Reason();
    --aState.mOpen;
  }
  for (const auto& given : aOutcome.mPreemptions) {
    const auto index = aState.mIndexOf.at(given.Task());
    ++aState.mResult.mPreemptions;
    aState.mEvents.push({ .mAt = aNow + kCheckpointTakes,
                          .mKind = EventKind::GaveWay,
                          .mIndex = index,
                          .mRun = aState.mTasks[index].mRun });
  }
}

void
Settle(ReplayState& aState, Time aNow)
{
  Take(aState, Dispatch(aState.mScheduler, aState.mPolicy, aNow), aNow);
}

void
GiveOne(ReplayState& aState, std::size_t aIndex, const WorkItem& aItem, Time aNow)
{
  SetWaiting(aState, aIndex, true);
  Take(aState, SubmitWork(aState.mScheduler, aState.mPolicy, aItem, aNow), aNow);
}

void
GiveGang(ReplayState& aState, std::size_t aFirst, Time aNow)
{
  const auto& arrivals = aState.mList->mArrivals;
  std::vector<WorkItem> tasks;
  for (auto i = aFirst; i < arrivals.size() && arrivals[i].mGang == arrivals[aFirst].mGang; ++i) {
    SetWaiting(aState, i, true);
    tasks.push_back(arrivals[i].mItem);
  }
  Take(aState, SubmitGang(aState.mScheduler, aState.mPolicy, tasks, aNow), aNow);
  Settle(aState, aNow);
}

void
PushArrival(ReplayState& aState, std::size_t aIndex)
{
  if (aIndex < aState.mList->mArrivals.size()) {
    aState.mEvents.push(
      { .mAt = ItemOf(aState, aIndex).Arrived(), .mKind = EventKind::Arrived, .mIndex = aIndex });
  }
}

void
Arrive(ReplayState& aState, std::size_t aIndex, Time aNow)
{
  const auto& arrivals = aState.mList->mArrivals;
  const auto& arrival = arrivals[aIndex];
  PushArrival(aState, aIndex + 1);
  if (arrival.mCancelled != Time::Never()) {
    aState.mEvents.push(
      { .mAt = arrival.mCancelled, .mKind = EventKind::Cancelled, .mIndex = aIndex });
  }
  if (arrival.mGang.empty()) {
    GiveOne(aState, aIndex, arrival.mItem, aNow);
  } else if (aIndex == 0 || arrivals[aIndex - 1].mGang != arrival.mGang) {
    GiveGang(aState, aIndex, aNow);
  }
}

/// Ends a run, for good or to go on later.
void
End(ReplayState& aState, const Event& aEvent, TaskState aHow)
{
  auto& task = aState.mTasks[aEvent.mIndex];
  if (!task.mRunning || task.mRun != aEvent.mRun) {
    return;
  }
  const auto ran = aEvent.mAt - task.mSince;
  const auto& item = ItemOf(aState, aEvent.mIndex);
  task.mRunning = false;
  task.mLeft = task.mLeft - ran;
  CountUse(aState, aEvent.mIndex, false);
  TaskEnded(aState.mScheduler, item.Task(), aHow, ran, aEvent.mAt);
  Settle(aState, aEvent.mAt);
  if (aHow == TaskState::Succeeded) {
    aState.mResult.mTasks[aEvent.mIndex].mEnded = aEvent.mAt;
    --aState.mOpen;
    return;
  }
  GiveOne(aState, aEvent.mIndex, item.WithStartBy(Time()), aEvent.mAt);
}

void
Cancel(ReplayState& aState, std::size_t aIndex)
{
  if (CancelWork(aState.mScheduler, ItemOf(aState, aIndex).Task())) {
    SetWaiting(aState, aIndex, false);
    aState.mResult.mTasks[aIndex].mReason = Reason::Cancelled;
    --aState.mOpen;
  }
}

void
Happen(ReplayState& aState, const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::Arrived:
      Arrive(aState, aEvent.mIndex, aEvent.mAt);
      break;
    case EventKind::Ended:
      End(aState, aEvent, TaskState::Succeeded);
      break;
    case EventKind::GaveWay:
      End(aState, aEvent, TaskState::Checkpointed);
      break;
    case EventKind::Cancelled:
      Cancel(aState, aEvent.mIndex);
      break;
    case EventKind::Sampled:
      aState.mNow.mAt = aEvent.mAt;
      aState.mResult.mSamples.push_back(aState.mNow);
      aState.mEvents.push({ .mAt = aEvent.mAt + kSampleEvery, .mKind = EventKind::Sampled });
      break;
    case EventKind::Ticked:
      Settle(aState, aEvent.mAt);
      aState.mEvents.push({ .mAt = aEvent.mAt + kTick, .mKind = EventKind::Ticked });
      break;
  }
}

void
Prepare(ReplayState& aState, const ConfigDocument& aConfig)
{
  const auto& list = *aState.mList;
  aState.mPolicy = PolicyFrom(aConfig).value();
  SetTeams(aState.mScheduler, aConfig, 1000);
  for (const auto& vm : VmsOf(list.mFleet)) {
    PutVm(aState.mScheduler, vm, Time());
    aState.mFree.emplace(vm.Vm().Text(), vm.Capacity());
  }
  for (std::size_t i = 0; i < list.mTeams.size(); ++i) {
    aState.mTeamOf.emplace(list.mTeams[i].Team(), i);
  }
  aState.mNow.mUsedByTeam.resize(list.mTeams.size());
  aState.mNow.mWaitingByTeam.resize(list.mTeams.size());
  aState.mTasks.resize(list.mArrivals.size());
  aState.mResult.mTasks.resize(list.mArrivals.size());
  aState.mOpen = list.mArrivals.size();
  for (std::size_t i = 0; i < list.mArrivals.size(); ++i) {
    aState.mIndexOf.emplace(list.mArrivals[i].mItem.Task(), i);
    aState.mTasks[i].mLeft = list.mArrivals[i].mRuns;
  }
  PushArrival(aState, 0);
  aState.mEvents.push({ .mAt = Time(), .mKind = EventKind::Sampled });
  aState.mEvents.push({ .mAt = Time(), .mKind = EventKind::Ticked });
}

} // namespace

ReplayResult
Replay(const ArrivalList& aList, const ConfigDocument& aConfig, Time aUntil)
{
  ReplayState state{ .mList = &aList };
  Prepare(state, aConfig);
  while (state.mOpen > 0 && state.mEvents.top().mAt <= aUntil) {
    const auto event = state.mEvents.top();
    state.mEvents.pop();
    Happen(state, event);
  }
  return std::move(state.mResult);
}

std::vector<VmDescription>
VmsOf(const VmFleet& aFleet)
{
  std::vector<VmDescription> vms;
  for (std::int64_t i = 0; i < aFleet.mVms; ++i) {
    const auto rack = i / aFleet.mRackSize;
    const auto accelerators =
      aFleet.mAccelerators / aFleet.mVms + (i < aFleet.mAccelerators % aFleet.mVms ? 1 : 0);
    vms.push_back(
      VmDescription::Create({ .mVm = VmId("vm-" + std::to_string(i)),
                              .mRack = RackId("rack-" + std::to_string(rack)),
                              .mZone = ZoneId("zone-" + std::to_string(rack % aFleet.mZones)),
                              .mCapacity = aFleet.mCapacity.WithAccelerators(accelerators),
                              .mConnections = 64 })
        .value());
  }
  return vms;
}

} // namespace by
