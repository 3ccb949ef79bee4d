#include "by_intents/detail/TrackedTasks.h"

#include <cstddef>
#include <string_view>
#include <utility>

namespace by::detail {

namespace {

constexpr std::size_t kMaxDetailLength = 256;

void
RemoveFromVm(RackTasks& aTasks, const TaskKey& aKey, const VmId& aVm)
{
  const auto it = aTasks.mByVm.find(aVm);
  if (it == aTasks.mByVm.end()) {
    return;
  }
  it->second.erase(aKey);
  if (it->second.empty()) {
    aTasks.mByVm.erase(it);
  }
}

} // namespace

TrackedTask*
FindTrackedTask(RackTasks& aTasks, const TaskKey& aKey)
{
  const auto it = aTasks.mTasks.find(aKey);
  return it == aTasks.mTasks.end() ? nullptr : &it->second;
}

TrackedTask&
TrackTask(RackTasks& aTasks, const TaskKey& aKey, TrackedTask aTask)
{
  UntrackTask(aTasks, aKey);
  auto& task = aTasks.mTasks[aKey] = std::move(aTask);
  if (!task.mVm.IsEmpty()) {
    aTasks.mByVm[task.mVm].insert(aKey);
  }
  aTasks.mActive.insert(aKey);
  return task;
}

void
SetPhase(RackTasks& aTasks, const TaskKey& aKey, TaskPhase aPhase, Time aSince)
{
  auto& task = aTasks.mTasks.at(aKey);
  task.mPhase = aPhase;
  task.mSince = aSince;
  task.mReportedAt = Time();
  if (aPhase == TaskPhase::Running && task.mSeenRunningAt == Time()) {
    task.mSeenRunningAt = aSince;
  }
  aTasks.mActive.insert(aKey);
}

void
EndTrackedTask(RackTasks& aTasks,
               const TaskKey& aKey,
               TaskState aEnd,
               std::string_view aDetail,
               Time aNow)
{
  SetPhase(aTasks, aKey, TaskPhase::Ended, aNow);
  auto& task = aTasks.mTasks.at(aKey);
  task.mEnd = aEnd;
  task.mDetail = std::string(aDetail.substr(0, kMaxDetailLength));
}

void
SetVm(RackTasks& aTasks, const TaskKey& aKey, const VmId& aVm)
{
  auto& task = aTasks.mTasks.at(aKey);
  RemoveFromVm(aTasks, aKey, task.mVm);
  task.mVm = aVm;
  aTasks.mByVm[aVm].insert(aKey);
}

void
UntrackTask(RackTasks& aTasks, const TaskKey& aKey)
{
  const auto it = aTasks.mTasks.find(aKey);
  if (it == aTasks.mTasks.end()) {
    return;
  }
  RemoveFromVm(aTasks, aKey, it->second.mVm);
  aTasks.mTasks.erase(it);
  aTasks.mActive.erase(aKey);
}

} // namespace by::detail
