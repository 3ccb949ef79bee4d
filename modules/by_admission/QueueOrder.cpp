#include "by_admission/QueueOrder.h"

namespace by {

namespace {

std::size_t
IndexOf(Lane aLane)
{
  return static_cast<std::size_t>(aLane);
}

/// Updates the team's position after a change of its key or first task. Removes the team if it has
/// no more tasks in the lane.
void
UpdatePosition(LaneQueue& aLane, const TeamId& aTeam, std::int64_t aKey)
{
  const auto it = aLane.mTeams.find(aTeam);
  aLane.mPositions.erase(it->second.mPosition);
  if (it->second.mTasks.empty()) {
    aLane.mTeams.erase(it);
    return;
  }
  it->second.mPosition = { .mKey = aKey,
                           .mSequence = it->second.mTasks.begin()->first,
                           .mTeam = aTeam };
  aLane.mPositions.insert(it->second.mPosition);
}

bool
IsEmpty(const LaneQueues& aLanes)
{
  for (const auto& lane : aLanes) {
    if (lane.mCount > 0) {
      return false;
    }
  }
  return true;
}

} // namespace

void
Enqueue(WorkQueue& aQueue, const WorkItem& aItem, Lane aLane, std::int64_t aKey)
{
  const auto sequence = aQueue.mNextSequence++;
  auto& lane = aQueue.mLanesByRack[aItem.Rack()][IndexOf(aLane)];
  lane.mTeams[aItem.Team()].mTasks.emplace(sequence, aItem.Task());
  ++lane.mCount;
  ++aQueue.mWaiting[IndexOf(aLane)];
  ++aQueue.mByTeam[aItem.Team()];
  UpdatePosition(lane, aItem.Team(), aKey);
  aQueue.mByStartBy.emplace(aItem.StartBy(), aItem.Task());
  aQueue.mRows.emplace(
    aItem.Task(),
    QueuedWork::Create({ .mItem = aItem, .mLane = aLane, .mSequence = sequence }).value());
}

std::optional<QueuedWork>
Dequeue(WorkQueue& aQueue, const TaskId& aTask)
{
  const auto it = aQueue.mRows.find(aTask);
  if (it == aQueue.mRows.end()) {
    return std::nullopt;
  }
  auto work = std::move(it->second);
  aQueue.mRows.erase(it);
  const auto& item = work.Item();
  aQueue.mByStartBy.erase({ item.StartBy(), item.Task() });
  const auto rackLanes = aQueue.mLanesByRack.find(item.Rack());
  auto& lane = rackLanes->second[IndexOf(work.Lane())];
  auto& team = lane.mTeams.at(item.Team());
  team.mTasks.erase(work.Sequence());
  --lane.mCount;
  --aQueue.mWaiting[IndexOf(work.Lane())];
  if (--aQueue.mByTeam[item.Team()] == 0) {
    aQueue.mByTeam.erase(item.Team());
  }
  UpdatePosition(lane, item.Team(), team.mPosition.mKey);
  if (!item.Rack().IsEmpty() && IsEmpty(rackLanes->second)) {
    aQueue.mLanesByRack.erase(rackLanes);
  }
  return work;
}

void
Reposition(LaneQueue& aLane, const TeamId& aTeam, std::int64_t aKey)
{
  const auto it = aLane.mTeams.find(aTeam);
  if (it != aLane.mTeams.end() && it->second.mPosition.mKey != aKey) {
    UpdatePosition(aLane, aTeam, aKey);
  }
}

const TaskId&
FirstTaskOf(const LaneQueue& aLane, const TeamId& aTeam)
{
  return aLane.mTeams.at(aTeam).mTasks.begin()->second;
}

LaneQueues*
FindLanes(WorkQueue& aQueue, const RackId& aRack)
{
  const auto it = aQueue.mLanesByRack.find(aRack);
  return it == aQueue.mLanesByRack.end() ? nullptr : &it->second;
}

} // namespace by
