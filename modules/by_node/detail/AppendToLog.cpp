#include "by_node/detail/AppendToLog.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_node/detail/StepWork.h"
#include "by_schema/AppendFailed.h"
#include "by_schema/AppendRecords.h"
#include "by_schema/LogEntry.h"
#include "by_schema/RequestClaims.h"

namespace by::detail {

namespace {

/// Credit that one append costs; credit is counted in thousandths of an append.
constexpr std::int64_t kAppendCost = 1000;
constexpr std::size_t kMaxRecordsPerAppend = 64;
constexpr std::size_t kMaxClaimsPerRecord = 256;
constexpr Time kAppendRetryDelay = Time::FromMilliseconds(200);

/// Adds the credit for the time that has passed, up to the credit of a quarter of a second.
/// @param aBudget the number of appends allowed per second.
void
AddCredit(LogWriter& aWriter, std::int64_t aBudget, Time aNow)
{
  const auto elapsed = std::max<std::int64_t>(0, (aNow - aWriter.mCreditAt).Milliseconds());
  const auto maxCredit = std::max<std::int64_t>(kAppendCost, aBudget * kAppendCost / 4);
  aWriter.mCredit = std::min(maxCredit, aWriter.mCredit + elapsed * aBudget);
  aWriter.mCreditAt = aNow;
}

void
QueueClaimRecords(StepWork& aWork)
{
  auto& writer = aWork.mState.mWriter;
  while (!writer.mClaims.empty()) {
    const auto count = std::min(kMaxClaimsPerRecord, writer.mClaims.size());
    const auto end = writer.mClaims.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<RequestClaim> claims(writer.mClaims.begin(), end);
    writer.mClaims.erase(writer.mClaims.begin(), end);
    QueueRecord(aWork,
                RequestClaims::Create({ .mNode = aWork.mState.mSettings.Node(),
                                        .mIncarnation = aWork.mState.mIncarnation,
                                        .mClaims = std::move(claims) })
                  .value());
  }
}

bool
Contains(const std::vector<RecordId>& aIds, const RecordId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

} // namespace

RecordId
QueueRecord(StepWork& aWork, LogRecordBody aBody, Time aExpires)
{
  auto& state = aWork.mState;
  RecordId id(absl::StrCat(
    state.mSettings.Node().Text(), "-", state.mIncarnation, "-", ++state.mWriter.mCounter));
  auto record =
    LogRecord::Create({ .mId = id, .mWriter = state.mSettings.Node(), .mBody = std::move(aBody) })
      .value();
  state.mWriter.mWaiting.push_back(
    PendingRecord::Create({ .mRecord = std::move(record), .mExpires = aExpires }).value());
  return id;
}

void
FlushRecords(StepWork& aWork)
{
  auto& writer = aWork.mState.mWriter;
  const auto& platform = aWork.mState.mSettings.Platform();
  AddCredit(writer, platform.AppendBudget(), aWork.mNow);
  const bool isBlocked =
    !writer.mInFlight.empty() || aWork.mNow < writer.mNextAppend || writer.mCredit < kAppendCost;
  if (isBlocked) {
    return;
  }
  QueueClaimRecords(aWork);
  std::erase_if(writer.mWaiting,
                [&](const auto& aPending) { return aPending.Expires() < aWork.mNow; });
  if (writer.mWaiting.empty()) {
    return;
  }
  std::vector<LogRecord> records;
  while (!writer.mWaiting.empty() && records.size() < kMaxRecordsPerAppend) {
    records.push_back(writer.mWaiting.front().Record());
    writer.mInFlight.push_back(std::move(writer.mWaiting.front()));
    writer.mWaiting.pop_front();
  }
  writer.mCredit -= kAppendCost;
  writer.mNextAppend = aWork.mNow + platform.BatchInterval();
  Emit(aWork, AppendRecords::Create({ .mRecords = std::move(records) }).value());
}

void
ObserveAppendDone(StepWork& aWork)
{
  aWork.mState.mWriter.mInFlight.clear();
}

std::vector<RecordId>
ObserveAppendFailed(StepWork& aWork, const AppendFailed& aFailed)
{
  auto& writer = aWork.mState.mWriter;
  std::vector<RecordId> dropped;
  auto failed = std::exchange(writer.mInFlight, {});
  std::reverse(failed.begin(), failed.end());
  for (auto& pending : failed) {
    const auto& id = pending.Record().Id();
    const bool mayBeAppended =
      pending.MayBeAppended() || (aFailed.MayHaveTakenEffect() && Contains(aFailed.Records(), id));
    if (!mayBeAppended && pending.Expires() != Time::Never()) {
      dropped.push_back(id);
      continue;
    }
    writer.mWaiting.push_front(pending.WithMayBeAppended(mayBeAppended));
  }
  writer.mNextAppend = aWork.mNow + kAppendRetryDelay;
  return dropped;
}

void
ObserveOwnRecord(StepWork& aWork, const LogEntry& aEntry)
{
  auto& waiting = aWork.mState.mWriter.mWaiting;
  const auto& id = aEntry.Record().Id();
  const auto it = std::find_if(waiting.begin(), waiting.end(), [&id](const auto& aPending) {
    return aPending.Record().Id() == id;
  });
  if (it != waiting.end()) {
    waiting.erase(it);
  }
}

} // namespace by::detail
