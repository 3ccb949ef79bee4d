#pragma once

#include <string>
#include <utility>
#include <vector>

#include "by_node/by_node.h"
#include "by_schema/by_schema.h"

namespace by {

/// Runs one node's step function on a clock that the test sets, with a log that accepts every
/// append.
class NodeFixture
{
public:
  NodeFixture()
    : mState(MakeNodeState(Settings(), 7))
  {
  }

  static NodeSettings Settings()
  {
    return NodeSettings::Create({ .mNode = NodeId("node-1"), .mZone = ZoneId("zone-1") }).value();
  }

  template<class Body>
  std::vector<NodeEffect> Handle(Body aBody)
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

  /// Advances the clock in ticks of 20 ms.
  std::vector<NodeEffect> AdvanceTime(std::int64_t aMilliseconds)
  {
    std::vector<NodeEffect> all;
    for (std::int64_t n = 0; n < aMilliseconds; n += 20) {
      mNow = mNow + Time::FromMilliseconds(20);
      auto effects = Handle(Tick());
      all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
  }

  /// Appends the pending records to the log and delivers it to the node.
  std::vector<NodeEffect> DeliverLog()
  {
    std::vector<LogEntry> entries;
    for (auto& record : std::exchange(mAppended, {})) {
      entries.push_back(
        LogEntry::Create({ .mOffset = mNextOffset++, .mAt = mNow, .mRecord = std::move(record) })
          .value());
    }
    Handle(AppendDone());
    return Handle(
      LogRead::Create({ .mNextOffset = mNextOffset, .mEntries = std::move(entries) }).value());
  }

  /// Delivers a record of another node from the log.
  template<class Body>
  std::vector<NodeEffect> DeliverPeerRecord(const std::string& aId, Body aBody)
  {
    auto record =
      LogRecord::Create(
        { .mId = RecordId(aId), .mWriter = NodeId("node-2"), .mBody = std::move(aBody) })
        .value();
    mAppended.push_back(std::move(record));
    return DeliverLog();
  }

  /// Lists, claims and leases one VM with capacity for two tasks.
  void AcquireRack()
  {
    DeliverLog();
    Handle(VmListRead::Create({ .mList = MakeVmList() }).value());
    for (int n = 0; n < 100 && mState.mScheduler.mVms.mRows.empty(); ++n) {
      GrantLeases(AdvanceTime(100));
      GrantLeases(DeliverLog());
    }
  }

  void GrantLeases(const std::vector<NodeEffect>& aEffects)
  {
    for (const auto& effect : aEffects) {
      if (const auto* lease = std::get_if<SendLease>(&effect.Body())) {
        auto grant = LeaseGrant::Create(
                       { .mGranted = true, .mEpoch = lease->Request().Epoch(), .mIncarnation = 1 })
                       .value();
        Handle(LeaseAnswered::Create({ .mVm = lease->Vm(),
                                       .mEpoch = lease->Request().Epoch(),
                                       .mSentAt = mNow,
                                       .mGrant = std::move(grant),
                                       .mInventory = lease->Request().WantInventory() })
                 .value());
      }
    }
  }

  /// Delivers a heartbeat of a ready peer with free capacity.
  void ReceivePeerHeartbeat(std::int64_t aSlots = 8)
  {
    const auto freeCapacity =
      Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 4000, .mSlots = aSlots }).value();
    auto summary =
      CapacitySummary::Create({ .mFree = freeCapacity, .mLargest = freeCapacity, .mRacks = 1 })
        .value();
    auto heartbeat = Heartbeat::Create({ .mNode = NodeId("node-2"),
                                         .mIncarnation = 5,
                                         .mSequence = ++mPeerHeartbeats,
                                         .mReady = true,
                                         .mSummary = std::move(summary) })
                       .value();
    Handle(PeerHeartbeat::Create({ .mHeartbeat = std::move(heartbeat) }).value());
  }

  std::vector<NodeEffect> Submit(const std::string& aId, bool aIdempotent, std::string aLabel = "l")
  {
    return Handle(
      CallerSubmitted::Create({ .mRequest = MakeRequest(aId, aIdempotent, aLabel) }).value());
  }

  template<class Body>
  std::vector<NodeEffect> HandleFrame(Body aBody)
  {
    auto frame = Frame::Create({ .mFrom = NodeId("node-2"), .mBody = std::move(aBody) }).value();
    return Handle(PeerFrame::Create({ .mFrame = std::move(frame) }).value());
  }

  std::vector<NodeEffect> EndTask(const SendStart& aStart, TaskState aState, std::string aPayload)
  {
    auto result = TaskResult::Create({ .mTask = aStart.Start().Task(),
                                       .mGeneration = aStart.Start().Generation(),
                                       .mState = aState,
                                       .mPayload = std::move(aPayload) })
                    .value();
    return Handle(
      TaskAnswered::Create({ .mVm = aStart.Vm(), .mResult = std::move(result) }).value());
  }

  static Request MakeRequest(const std::string& aId, bool aIdempotent, const std::string& aLabel)
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

  static VmList MakeVmList()
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
  std::uint64_t mPeerHeartbeats{ 0 };
};

/// @returns the first effect of a type, or null.
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

/// @returns the body of the first sent frame with this body type, or null.
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
