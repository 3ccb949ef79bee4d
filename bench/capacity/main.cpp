// Measures what the control work of one node costs, at several sizes: bytes a message, memory and
// time a row, processor time of a node that owns VMs and has nothing else to do.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "LargeCell.h"
#include "OwnerLoad.h"
#include "TakeoverLoad.h"
#include "TeamsCost.h"
#include "by_json/by_json.h"
#include "by_json/generated/backend_json.h"
#include "by_json/generated/platform_json.h"
#include "by_node/by_node.h"
#include "by_schema/by_schema.h"
#include "by_wire/by_wire.h"

namespace by {

namespace {

constexpr std::int64_t kVmsARack = 8;
constexpr std::int64_t kSimulatedSeconds = 20;
constexpr std::int64_t kTickMilliseconds = 20;
constexpr Time kStart = Time::FromSeconds(1000);

using Clock = std::chrono::steady_clock;

double
MicrosecondsSince(Clock::time_point aFrom)
{
  return std::chrono::duration<double, std::micro>(Clock::now() - aFrom).count();
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

LogEntry
ClaimEntry(std::uint64_t aOffset, std::int64_t aClaims)
{
  std::vector<RequestClaim> claims;
  for (std::int64_t n = 0; n < aClaims; ++n) {
    const auto id = std::to_string(aOffset * 1000 + static_cast<std::uint64_t>(n));
    claims.push_back(
      RequestClaim::Create({ .mTeam = TeamId("team-17"),
                             .mLabel = "booking-2026-12-04-" + id,
                             .mRequest = RequestId("0123456789abcdef0123456789abcdef"),
                             .mDigest = 1234567890123456789ULL })
        .value());
  }
  auto body = RequestClaims::Create(
                { .mNode = NodeId("node-1"), .mIncarnation = 1, .mClaims = std::move(claims) })
                .value();
  auto record = LogRecord::Create({ .mId = RecordId("node-1-1-" + std::to_string(aOffset)),
                                    .mWriter = NodeId("node-1"),
                                    .mBody = std::move(body) })
                  .value();
  return LogEntry::Create({ .mOffset = aOffset, .mAt = kStart, .mRecord = std::move(record) })
    .value();
}

void
MeasureMessages()
{
  const auto room =
    Resources::Create({ .mCpuMillis = 7'680'000, .mMemoryMb = 15'728'640, .mSlots = 3840 }).value();
  const auto beat =
    Heartbeat::Create(
      { .mNode = NodeId("node-1"),
        .mIncarnation = 1ULL << 57,
        .mSequence = 1'000'000,
        .mZone = ZoneId("zone-1"),
        .mReady = true,
        .mSummary = CapacitySummary::Create({ .mFree = room, .mLargest = room }).value() })
      .value();
  std::printf("bytes,heartbeat,1,%zu\n", EncodeHeartbeat(beat).size());
  const auto lease =
    LeaseRequest::Create({ .mOwner = NodeId("node-1"), .mEpoch = 12, .mTtl = Time::FromSeconds(6) })
      .value();
  std::printf("bytes,lease_request,1,%zu\n", WriteJsonText(lease).size());
  const auto grant =
    LeaseGrant::Create(
      { .mGranted = true, .mEpoch = 12, .mIncarnation = 1ULL << 57, .mUsed = room })
      .value();
  std::printf("bytes,lease_grant,1,%zu\n", WriteJsonText(grant).size());
  for (const std::int64_t n : { 1, 16, 256 }) {
    const auto record = ClaimEntry(1, n).Record();
    std::printf("bytes,claims_record,%ld,%zu\n", n, WriteJsonText(record).size());
  }
}

void
MeasureClaims(std::int64_t aRows)
{
  constexpr std::int64_t kBatch = 16;
  const auto before = HeapBytes();
  LogState state;
  double total = 0;
  for (std::int64_t n = 0; n < aRows / kBatch; ++n) {
    const auto entry = ClaimEntry(state.mNextOffset, kBatch);
    const auto from = Clock::now();
    ApplyEntry(state, entry);
    total += MicrosecondsSince(from);
  }
  std::printf("claims,bytes_a_row,%ld,%.0f\n",
              aRows,
              static_cast<double>(HeapBytes() - before) / static_cast<double>(aRows));
  std::printf("claims,microseconds_a_row,%ld,%.2f\n", aRows, total / static_cast<double>(aRows));
}

VmList
ListOf(std::int64_t aVms)
{
  std::vector<VmDescription> vms;
  const auto capacity =
    Resources::Create({ .mCpuMillis = 16'000, .mMemoryMb = 32'768, .mSlots = 8 }).value();
  for (std::int64_t n = 0; n < aVms; ++n) {
    vms.push_back(VmDescription::Create({ .mVm = VmId("vm-" + std::to_string(n)),
                                          .mRack = RackId("rack-" + std::to_string(n / kVmsARack)),
                                          .mZone = ZoneId("zone-1"),
                                          .mCapacity = capacity })
                    .value());
  }
  return VmList::Create({ .mVms = std::move(vms) }).value();
}

/// One node that owns every rack of its list, with servers that grant at once.
struct IdleNode
{
  NodeState mState = MakeNodeState(
    NodeSettings::Create({ .mNode = NodeId("node-1"), .mZone = ZoneId("zone-1") }).value(),
    1);
  Time mNow = kStart;
  std::uint64_t mNextOffset{ 0 };
  std::vector<LogRecord> mAppended;
  std::int64_t mLeases{ 0 };
  double mMicroseconds{ 0 };
};

std::vector<NodeEffect>
TakeEvent(IdleNode& aNode, decltype(NodeEvent::Fields::mBody) aBody)
{
  const auto event = NodeEvent::Create({ .mBody = std::move(aBody) }).value();
  const auto from = Clock::now();
  auto result = Step(std::move(aNode.mState), event, aNode.mNow);
  aNode.mMicroseconds += MicrosecondsSince(from);
  aNode.mState = std::move(result.mState);
  return std::move(result.mEffects);
}

void
Answer(IdleNode& aNode, const std::vector<NodeEffect>& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const auto* append = std::get_if<AppendRecords>(&effect.Body())) {
      aNode.mAppended.insert(
        aNode.mAppended.end(), append->Records().begin(), append->Records().end());
      Answer(aNode, TakeEvent(aNode, AppendDone()));
    }
    if (const auto* lease = std::get_if<SendLease>(&effect.Body())) {
      ++aNode.mLeases;
      auto grant = LeaseGrant::Create(
                     { .mGranted = true, .mEpoch = lease->Request().Epoch(), .mIncarnation = 1 })
                     .value();
      Answer(aNode,
             TakeEvent(aNode,
                       LeaseAnswered::Create({ .mVm = lease->Vm(),
                                               .mEpoch = lease->Request().Epoch(),
                                               .mSentAt = aNode.mNow,
                                               .mGrant = std::move(grant),
                                               .mInventory = lease->Request().WantInventory() })
                         .value()));
    }
  }
}

void
PassOneTick(IdleNode& aNode)
{
  aNode.mNow = aNode.mNow + Time::FromMilliseconds(kTickMilliseconds);
  Answer(aNode, TakeEvent(aNode, Tick()));
  if (aNode.mAppended.empty() && aNode.mNow.Milliseconds() % 1000 != 0) {
    return;
  }
  std::vector<LogEntry> entries;
  for (auto& record : std::exchange(aNode.mAppended, {})) {
    entries.push_back(
      LogEntry::Create(
        { .mOffset = aNode.mNextOffset++, .mAt = aNode.mNow, .mRecord = std::move(record) })
        .value());
  }
  Answer(aNode,
         TakeEvent(aNode,
                   LogRead::Create({ .mNextOffset = aNode.mNextOffset,
                                     .mEntries = std::move(entries),
                                     .mSentAt = aNode.mNow })
                     .value()));
}

void
MeasureIdleNode(std::int64_t aVms)
{
  const auto before = HeapBytes();
  IdleNode node;
  Answer(node, TakeEvent(node, LogRead()));
  Answer(node, TakeEvent(node, VmListRead::Create({ .mList = ListOf(aVms) }).value()));
  for (int n = 0; n < 3000 && std::ssize(node.mState.mScheduler.mVms.mRows) < aVms; ++n) {
    PassOneTick(node);
  }
  node.mLeases = 0;
  node.mMicroseconds = 0;
  for (std::int64_t n = 0; n < kSimulatedSeconds * 1000 / kTickMilliseconds; ++n) {
    PassOneTick(node);
  }
  std::printf(
    "idle_node,vms_placeable,%ld,%zd\n", aVms, std::ssize(node.mState.mScheduler.mVms.mRows));
  std::printf("idle_node,percent_of_a_core,%ld,%.3f\n",
              aVms,
              node.mMicroseconds / static_cast<double>(kSimulatedSeconds) / 1e4);
  std::printf("idle_node,leases_a_second,%ld,%.1f\n",
              aVms,
              static_cast<double>(node.mLeases) / static_cast<double>(kSimulatedSeconds));
  std::printf("idle_node,bytes_a_vm,%ld,%.0f\n",
              aVms,
              static_cast<double>(HeapBytes() - before) / static_cast<double>(aVms));
}

} // namespace

} // namespace by

int
main()
{
  std::printf("part,figure,size,value\n");
  by::MeasureMessages();
  for (const std::int64_t rows : { 10'000, 50'000, 200'000 }) {
    by::MeasureClaims(rows);
  }
  for (const std::int64_t vms : { 48, 480, 4304 }) {
    by::MeasureIdleNode(vms);
  }
  for (const auto& [jobs, backlog] : { std::pair{ 25, 0 }, { 95, 0 }, { 95, 600 }, { 130, 0 } }) {
    constexpr int kWorkers = 350;
    constexpr int kSeconds = 10;
    const auto load = by::MeasureOwnerLoad(kWorkers, jobs, kSeconds, backlog);
    const auto size = std::to_string(jobs) + "+" + std::to_string(backlog);
    std::printf("owner,milliseconds_a_second,%s,%.1f\n", size.c_str(), load.mMillisecondsASecond);
    std::printf("owner,starts_a_second,%s,%.0f\n", size.c_str(), load.mStartsASecond);
    std::printf("owner,events_a_second,%s,%.0f\n", size.c_str(), load.mEventsASecond);
    std::printf("owner,records_a_second,%s,%.0f\n", size.c_str(), load.mRecordsASecond);
    std::printf("owner,record_bytes_a_second,%s,%.0f\n", size.c_str(), load.mRecordBytesASecond);
    std::printf("owner,open_jobs,%s,%ld\n", size.c_str(), static_cast<long>(load.mOpenJobs));
  }
  for (const auto& [ended, open] : { std::pair{ 2000, 300 }, { 10'000, 900 } }) {
    constexpr int kWorkers = 350;
    const auto load = by::MeasureTakeover(ended, open, kWorkers);
    const auto size = std::to_string(ended) + "+" + std::to_string(open);
    std::printf("takeover,records,%s,%ld\n", size.c_str(), static_cast<long>(load.mRecords));
    std::printf("takeover,record_bytes,%s,%ld\n", size.c_str(), static_cast<long>(load.mBytes));
    std::printf("takeover,decode_ms,%s,%.1f\n", size.c_str(), load.mDecodeMilliseconds);
    std::printf("takeover,restore_ms,%s,%.1f\n", size.c_str(), load.mRestoreMilliseconds);
  }
  for (const auto& [workers, jobs] : { std::pair{ 350, 300 }, { 4300, 1975 } }) {
    const auto load = by::MeasureLargeCell(workers, jobs);
    const auto size = std::to_string(workers) + "+" + std::to_string(jobs);
    std::printf("large_cell,registry_ms,%s,%.2f\n", size.c_str(), load.mRegistryMilliseconds);
    std::printf(
      "large_cell,configuration_ms,%s,%.2f\n", size.c_str(), load.mConfigurationMilliseconds);
    std::printf("large_cell,urgency_ms,%s,%.2f\n", size.c_str(), load.mUrgencyMilliseconds);
  }
  for (const int teams : { 20, 150, 500 }) {
    constexpr int kKeysATeam = 3;
    constexpr int kRuns = 2000;
    const auto load = by::MeasureTeams(teams, kKeysATeam, kRuns);
    std::printf("teams,message_bytes,%d,%zu\n", teams, load.mMessageBytes);
    std::printf("teams,decode_ms,%d,%.3f\n", teams, load.mDecodeMilliseconds);
    std::printf("teams,change_ms,%d,%.3f\n", teams, load.mChangeMilliseconds);
    std::printf("teams,known_key_us,%d,%.2f\n", teams, load.mKnownKeyMicroseconds);
    std::printf("teams,unknown_key_us,%d,%.2f\n", teams, load.mUnknownKeyMicroseconds);
    std::printf("teams,sample_ms,%d,%.3f\n", teams, load.mSampleMilliseconds);
    std::printf("teams,heap_bytes,%d,%zu\n", teams, load.mHeapBytes);
  }
  return 0;
}
