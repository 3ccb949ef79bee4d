#include "backend_server/ServerFunctions.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "backend_server/TaskLength.h"

namespace by::standins {

namespace {

constexpr std::size_t kMaxEnded = 4096;
constexpr std::int64_t kThrottleFactor = 4;
constexpr std::int64_t kUsedPercent = 80;
constexpr std::int64_t kWhole = 100;
constexpr auto kFailureLength = Time::FromMilliseconds(1);

Resources
Sum(const Resources& aLeft, const Resources& aRight)
{
  return Resources::Create({ .mCpuMillis = aLeft.CpuMillis() + aRight.CpuMillis(),
                             .mMemoryMb = aLeft.MemoryMb() + aRight.MemoryMb(),
                             .mAccelerators = aLeft.Accelerators() + aRight.Accelerators(),
                             .mSlots = aLeft.Slots() + aRight.Slots() })
    .value();
}

/// A task takes one slot at least, whatever it declared.
Resources
TakenBy(const TaskStart& aStart)
{
  const auto& declared = aStart.Resources();
  return declared.WithSlots(std::max<std::int64_t>(1, declared.Slots()));
}

bool
Fits(const Resources& aNeed, const Resources& aRoom)
{
  return aNeed.CpuMillis() <= aRoom.CpuMillis() && aNeed.MemoryMb() <= aRoom.MemoryMb() &&
         aNeed.Accelerators() <= aRoom.Accelerators() && aNeed.Slots() <= aRoom.Slots();
}

Resources
Taken(const ServerState& aServer)
{
  Resources taken;
  for (const auto& [id, task] : aServer.mRunning) {
    taken = Sum(taken, TakenBy(task.mStart));
  }
  return taken;
}

Resources
CapacityOf(const ServerState& aServer)
{
  const auto share = [&](std::int64_t aAmount) {
    return aAmount * aServer.mSwitch.CapacityPercent() / kWhole;
  };
  const auto& capacity = aServer.mSettings.Capacity();
  return Resources::Create({ .mCpuMillis = share(capacity.CpuMillis()),
                             .mMemoryMb = share(capacity.MemoryMb()),
                             .mAccelerators = share(capacity.Accelerators()),
                             .mSlots = share(capacity.Slots()) })
    .value();
}

Resources
UsedBy(const Resources& aTaken)
{
  return aTaken.WithCpuMillis(aTaken.CpuMillis() * kUsedPercent / 100)
    .WithMemoryMb(aTaken.MemoryMb() * kUsedPercent / 100);
}

void
NoteUse(ServerState& aServer, Time aNow)
{
  aServer.mUse.emplace_back(aNow, UsedBy(Taken(aServer)));
  const auto shown = aNow - aServer.mSettings.UsageLag();
  while (aServer.mUse.size() > 1 && aServer.mUse[1].first <= shown) {
    aServer.mUse.pop_front();
  }
}

Resources
LaggedUse(const ServerState& aServer, Time aNow)
{
  Resources used;
  for (const auto& [at, use] : aServer.mUse) {
    if (at <= aNow - aServer.mSettings.UsageLag()) {
      used = use;
    }
  }
  return used;
}

TaskResult
ResultOf(const TaskStart& aStart, TaskState aState, std::string aDetail)
{
  return TaskResult::Create({ .mTask = aStart.Task(),
                              .mGeneration = aStart.Generation(),
                              .mState = aState,
                              .mDetail = std::move(aDetail) })
    .value();
}

TaskStatus
StatusOf(const RunningTask& aTask, TaskState aState, Time aNow)
{
  return TaskStatus::Create({ .mTask = aTask.mStart.Task(),
                              .mGeneration = aTask.mStart.Generation(),
                              .mState = aState,
                              .mDeclared = aTask.mStart.Resources(),
                              .mUsed = UsedBy(aTask.mStart.Resources()),
                              .mRan = aNow - aTask.mStartedAt,
                              .mDetached = aTask.mStart.WorkClass() != WorkClass::Request })
    .value();
}

TaskResult
EndTask(ServerState& aServer, const TaskId& aTask, TaskState aState, std::string aDetail, Time aNow)
{
  const auto task = aServer.mRunning.at(aTask);
  aServer.mRunning.erase(aTask);
  aServer.mEnded.insert_or_assign(aTask, StatusOf(task, aState, aNow));
  aServer.mEndedOrder.push_back(aTask);
  while (aServer.mEndedOrder.size() > kMaxEnded) {
    aServer.mEnded.erase(aServer.mEndedOrder.front());
    aServer.mEndedOrder.pop_front();
  }
  NoteUse(aServer, aNow);
  auto result = ResultOf(task.mStart, aState, std::move(aDetail)).WithRan(aNow - task.mStartedAt);
  if (aState != TaskState::Succeeded) {
    return result;
  }
  return result.WithPayload(absl::StrCat(aTask.Text(), ":", task.mStart.Payload()));
}

/// @returns why a start is refused before it is looked at for room; empty for none.
std::string
FencedBecause(const ServerState& aServer, const TaskStart& aStart, Time aNow)
{
  if (aStart.Epoch() < aServer.mEpoch) {
    return "the epoch is lower than the highest seen";
  }
  if (aNow >= aServer.mLeaseUntil || aStart.Epoch() != aServer.mEpoch) {
    return "there is no lease under this epoch";
  }
  if (aStart.Incarnation() != 0 && aStart.Incarnation() != aServer.mIncarnation) {
    return "the start is for another process of the server";
  }
  return aNow > aStart.NotAfter() ? "the start is too late" : "";
}

void
NoteStart(ServerState& aServer, const TaskStart& aStart)
{
  ++aServer.mStarted;
  const bool isRepeat = !aServer.mRanOnce.emplace(aStart.Task(), aStart.Generation()).second;
  const bool isSecondRun =
    !aStart.Idempotent() && !aServer.mNonIdempotent.insert(aStart.Task()).second;
  aServer.mDoubled += isRepeat || isSecondRun ? 1 : 0;
  if (!aStart.Idempotent()) {
    aServer.mNonIdempotentRuns.push_back(
      absl::StrCat(aStart.Team().Text(), "/", aStart.Label(), "/", aStart.Task().Text()));
  }
}

} // namespace

LeaseGrant
GrantLease(ServerState& aServer, const LeaseRequest& aRequest, Time aNow)
{
  const bool isInTime = aRequest.NotAfter() == Time() || aNow <= aRequest.NotAfter();
  const bool granted = isInTime && aRequest.Epoch() >= aServer.mEpoch;
  if (granted) {
    aServer.mEpoch = aRequest.Epoch();
    aServer.mLeaseUntil = aNow + aRequest.Ttl();
    for (const auto& task : aRequest.Acknowledged()) {
      aServer.mEnded.erase(TaskId(task));
    }
  }
  std::vector<TaskStatus> tasks;
  for (const auto& [id, status] : aServer.mEnded) {
    tasks.push_back(status);
  }
  if (aRequest.WantInventory()) {
    for (const auto& [id, task] : aServer.mRunning) {
      tasks.push_back(StatusOf(task, TaskState::Running, aNow));
    }
  }
  return LeaseGrant::Create({ .mGranted = granted,
                              .mEpoch = aServer.mEpoch,
                              .mIncarnation = aServer.mIncarnation,
                              .mTasks = std::move(tasks),
                              .mUsed = LaggedUse(aServer, aNow) })
    .value();
}

std::optional<TaskResult>
StartTask(ServerState& aServer, const TaskStart& aStart, Time aNow)
{
  const auto fenced = FencedBecause(aServer, aStart, aNow);
  if (!fenced.empty()) {
    ++aServer.mFenced;
    return ResultOf(aStart, TaskState::NotStarted, fenced);
  }
  if (aServer.mRunning.contains(aStart.Task())) {
    ++aServer.mDoubled;
    return ResultOf(aStart, TaskState::NotStarted, "the task runs already");
  }
  if (!Fits(Sum(Taken(aServer), TakenBy(aStart)), CapacityOf(aServer))) {
    ++aServer.mOvercommitted;
    return ResultOf(aStart, TaskState::NotStarted, "there is no room");
  }
  NoteStart(aServer, aStart);
  const auto behaviour = BehaviourOf(aStart);
  const auto slowed = static_cast<double>(behaviour.mLength.Milliseconds()) *
                      std::max(1.0, aServer.mSwitch.SlowFactor());
  const auto length = aServer.mSwitch.FailAll()
                        ? kFailureLength
                        : Time::FromMilliseconds(static_cast<std::int64_t>(slowed));
  aServer.mRunning.emplace(aStart.Task(),
                           RunningTask{ .mStart = aStart,
                                        .mStartedAt = aNow,
                                        .mEndsAt = aNow + length,
                                        .mFails = behaviour.mFails || aServer.mSwitch.FailAll(),
                                        .mCrashes = behaviour.mCrashes });
  NoteUse(aServer, aNow);
  if (aStart.WorkClass() == WorkClass::Request) {
    return std::nullopt;
  }
  return ResultOf(aStart, TaskState::Running, "");
}

bool
IsCrashDue(const ServerState& aServer, Time aNow)
{
  return std::any_of(aServer.mRunning.begin(), aServer.mRunning.end(), [&](const auto& aEntry) {
    return aEntry.second.mCrashes && aEntry.second.mEndsAt <= std::min(aNow, aServer.mLeaseUntil);
  });
}

std::vector<TaskResult>
EndDueTasks(ServerState& aServer, Time aNow)
{
  std::vector<std::pair<TaskId, TaskState>> due;
  for (const auto& [id, task] : aServer.mRunning) {
    if (task.mEndsAt <= std::min(aNow, aServer.mLeaseUntil)) {
      due.emplace_back(id, task.mFails ? TaskState::Failed : TaskState::Succeeded);
    } else if (aServer.mLeaseUntil <= aNow) {
      due.emplace_back(id, TaskState::Lost);
    }
  }
  std::vector<TaskResult> results;
  for (const auto& [id, state] : due) {
    auto detail = state == TaskState::Lost     ? "the lease lapsed"
                  : state == TaskState::Failed ? "the task failed"
                                               : "";
    results.push_back(EndTask(aServer, id, state, detail, aNow));
  }
  return results;
}

std::optional<TaskResult>
FinishTask(ServerState& aServer, const TaskId& aTask, Time aNow)
{
  if (!aServer.mRunning.contains(aTask)) {
    return std::nullopt;
  }
  return EndTask(aServer, aTask, TaskState::Succeeded, "", aNow);
}

std::optional<TaskResult>
ActOnTask(ServerState& aServer, const TaskCommand& aCommand, Time aNow)
{
  const auto it = aServer.mRunning.find(aCommand.Task());
  if (it == aServer.mRunning.end() || aCommand.Epoch() < aServer.mEpoch) {
    return std::nullopt;
  }
  auto& task = it->second;
  const auto left = task.mEndsAt - aNow;
  switch (aCommand.Action()) {
    case TaskAction::Stop:
      return EndTask(aServer, aCommand.Task(), TaskState::Stopped, "stopped", aNow);
    case TaskAction::Checkpoint:
      return EndTask(aServer, aCommand.Task(), TaskState::Checkpointed, "checkpointed", aNow);
    case TaskAction::Throttle:
      task.mEndsAt = task.mThrottled ? task.mEndsAt : aNow + left * kThrottleFactor;
      task.mThrottled = true;
      return std::nullopt;
    case TaskAction::Resume:
      task.mEndsAt = task.mThrottled ? aNow + left / kThrottleFactor : task.mEndsAt;
      task.mThrottled = false;
      return std::nullopt;
  }
  return std::nullopt;
}

void
LoseState(ServerState& aServer, std::uint64_t aIncarnation)
{
  aServer.mIncarnation = aIncarnation;
  aServer.mEpoch = 0;
  aServer.mLeaseUntil = Time();
  aServer.mRunning.clear();
  aServer.mEnded.clear();
  aServer.mEndedOrder.clear();
  aServer.mUse.clear();
}

std::optional<Time>
NextDue(const ServerState& aServer)
{
  if (aServer.mRunning.empty()) {
    return std::nullopt;
  }
  auto due = aServer.mLeaseUntil;
  for (const auto& [id, task] : aServer.mRunning) {
    due = std::min(due, task.mEndsAt);
  }
  return due;
}

BackendCounters
CountersOf(const ServerState& aServer)
{
  return BackendCounters::Create({ .mStarted = aServer.mStarted,
                                   .mFenced = aServer.mFenced,
                                   .mOvercommitted = aServer.mOvercommitted,
                                   .mDoubled = aServer.mDoubled,
                                   .mRunning = static_cast<std::int64_t>(aServer.mRunning.size()),
                                   .mNonIdempotentRuns = aServer.mNonIdempotentRuns })
    .value();
}

} // namespace by::standins
