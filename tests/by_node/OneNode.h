#pragma once

#include <string>
#include <utility>
#include <vector>

#include "by_node/by_node.h"
#include "by_schema/by_schema.h"

namespace by {

/// One node's step on a clock that the test sets, with a log that takes all it is given.
class OneNode
{
public:
  OneNode()
    : mState(MakeNodeState(Settings(), 7))
  {
  }

  static NodeSettings Settings()
  {
    return NodeSettings::Create({ .mNode = NodeId("node-1"), .mZone = ZoneId("zone-1") }).value();
  }

  template<class Body>
  std::vector<NodeEffect> Take(Body aBody)
  {
    auto event = NodeEvent::Create({ .mBody = std::move(aBody) }).value();
    auto result = Step(std::move(mState), event, mNow);
    mState = std::move(result.mState);
    for (const auto& effect : result.mEffects) {
      if (const auto* append = std::get_if<AppendRecords>(&effect.Body())) {
        mAppended.insert(mAppended.end(), append->Records().begin(), append->Records().end());
      }
    }
    return result.mEffects;
  }

  /// Lets time pass in ticks of 20 ms.
  std::vector<NodeEffect> Pass(std::int64_t aMilliseconds)
  {
    std::vector<NodeEffect> all;
    for (std::int64_t n = 0; n < aMilliseconds; n += 20) {
      mNow = mNow + Time::FromMilliseconds(20);
      auto effects = Take(Tick());
      all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
  }

  /// Puts what was appended into the log and lets the node read it.
  std::vector<NodeEffect> ReadLogNow()
  {
    std::vector<LogEntry> entries;
    for (auto& record : std::exchange(mAppended, {})) {
      entries.push_back(
        LogEntry::Create({ .mOffset = mNextOffset++, .mAt = mNow, .mRecord = std::move(record) })
          .value());
    }
    Take(AppendDone());
    return Take(
      LogRead::Create({ .mNextOffset = mNextOffset, .mEntries = std::move(entries) }).value());
  }

  /// Reads a record of another node's from the log.
  template<class Body>
  std::vector<NodeEffect> ReadForeign(const std::string& aId, Body aBody)
  {
    auto record =
      LogRecord::Create(
        { .mId = RecordId(aId), .mWriter = NodeId("node-2"), .mBody = std::move(aBody) })
        .value();
    mAppended.push_back(std::move(record));
    return ReadLogNow();
  }

  /// One VM with room for two tasks, listed, claimed and leased.
  void Own()
  {
    ReadLogNow();
    Take(VmListRead::Create({ .mList = List() }).value());
    for (int n = 0; n < 100 && mState.mScheduler.mVms.mRows.empty(); ++n) {
      GrantLeases(Pass(100));
      GrantLeases(ReadLogNow());
    }
  }

  void GrantLeases(const std::vector<NodeEffect>& aEffects)
  {
    for (const auto& effect : aEffects) {
      if (const auto* lease = std::get_if<SendLease>(&effect.Body())) {
        auto grant = LeaseGrant::Create(
                       { .mGranted = true, .mEpoch = lease->Request().Epoch(), .mIncarnation = 1 })
                       .value();
        Take(LeaseAnswered::Create({ .mVm = lease->Vm(),
                                     .mEpoch = lease->Request().Epoch(),
                                     .mSentAt = mNow,
                                     .mGrant = std::move(grant),
                                     .mInventory = lease->Request().WantInventory() })
               .value());
      }
    }
  }

  /// A heartbeat of a ready peer with room.
  void HearPeer(std::int64_t aSlots = 8)
  {
    const auto room =
      Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 4000, .mSlots = aSlots }).value();
    auto summary =
      CapacitySummary::Create({ .mFree = room, .mLargest = room, .mRacks = 1 }).value();
    auto beat = Heartbeat::Create({ .mNode = NodeId("node-2"),
                                    .mIncarnation = 5,
                                    .mSequence = ++mPeerBeats,
                                    .mReady = true,
                                    .mSummary = std::move(summary) })
                  .value();
    Take(PeerHeartbeat::Create({ .mHeartbeat = std::move(beat) }).value());
  }

  std::vector<NodeEffect> Submit(const std::string& aId, bool aIdempotent, std::string aLabel = "l")
  {
    return Take(
      CallerSubmitted::Create({ .mRequest = RequestOf(aId, aIdempotent, aLabel) }).value());
  }

  template<class Body>
  std::vector<NodeEffect> TakeFrame(Body aBody)
  {
    auto frame = Frame::Create({ .mFrom = NodeId("node-2"), .mBody = std::move(aBody) }).value();
    return Take(PeerFrame::Create({ .mFrame = std::move(frame) }).value());
  }

  std::vector<NodeEffect> EndTask(const SendStart& aStart, TaskState aState, std::string aPayload)
  {
    auto result = TaskResult::Create({ .mTask = aStart.Start().Task(),
                                       .mGeneration = aStart.Start().Generation(),
                                       .mState = aState,
                                       .mPayload = std::move(aPayload) })
                    .value();
    return Take(TaskAnswered::Create({ .mVm = aStart.Vm(), .mResult = std::move(result) }).value());
  }

  static Request RequestOf(const std::string& aId, bool aIdempotent, const std::string& aLabel)
  {
    return Request::Create({ .mId = RequestId(aId),
                             .mTeam = TeamId("team"),
                             .mLabel = aLabel,
                             .mKind = "quote",
                             .mIdempotent = aIdempotent,
                             .mResources = Resources::Create({ .mCpuMillis = 1000 }).value(),
                             .mMaxWait = Time::FromMilliseconds(2000) })
      .value();
  }

  static VmList List()
  {
    auto vm =
      VmDescription::Create(
        { .mVm = VmId("vm-1"),
          .mRack = RackId("rack-1"),
          .mZone = ZoneId("zone-1"),
          .mCapacity =
            Resources::Create({ .mCpuMillis = 2000, .mMemoryMb = 4000, .mSlots = 8 }).value() })
        .value();
    return VmList::Create({ .mVms = { std::move(vm) } }).value();
  }

  NodeState mState;
  Time mNow = Time::FromSeconds(1000);
  std::vector<LogRecord> mAppended;
  std::uint64_t mNextOffset{ 0 };
  std::uint64_t mPeerBeats{ 0 };
};

/// Finds the first effect of a kind.
template<class Body>
const Body*
FindEffect(const std::vector<NodeEffect>& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const auto* body = std::get_if<Body>(&effect.Body())) {
      return body;
    }
  }
  return nullptr;
}

/// Finds the first frame with a body of a kind.
template<class Body>
const Body*
FindFrame(const std::vector<NodeEffect>& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const auto* send = std::get_if<SendFrame>(&effect.Body())) {
      if (const auto* body = std::get_if<Body>(&send->Frame().Body())) {
        return body;
      }
    }
  }
  return nullptr;
}

} // namespace by
