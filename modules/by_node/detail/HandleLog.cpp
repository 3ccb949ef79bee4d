#include "by_node/detail/HandleLog.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "by_node/detail/AppendToLog.h"
#include "by_node/detail/HandleOperators.h"
#include "by_node/detail/HandleOwnership.h"
#include "by_node/detail/HandleWork.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/AppendFailed.h"
#include "by_schema/ConfigInForce.h"
#include "by_schema/Frame.h"
#include "by_schema/LogRead.h"
#include "by_schema/ReadLog.h"
#include "by_schema/SendFrame.h"
#include "by_schema/StateQuery.h"
#include "by_schema/StateTransfer.h"

namespace by::detail {

namespace {

constexpr std::size_t kRowsPerSnapshotPiece = 500;
/// How long reads of the log must fail before a starting node queries a peer.
constexpr Time kStateQueryDelay = Time::FromMilliseconds(1000);
/// The key of the rendezvous hashing that ranks the nodes for writing snapshots.
const char* const kSnapshotKey = "snapshot";

/// Collects snapshot pieces from the entries if the log no longer has the next entry of this node,
/// and adopts the first complete snapshot.
/// @returns whether the entries must not be applied.
bool
StartFromSnapshot(StepWork& aWork, const LogRead& aRead)
{
  auto& state = aWork.mState;
  if (aRead.FirstAvailable() <= state.mLog.mNextOffset) {
    return false;
  }
  for (const auto& entry : aRead.Entries()) {
    const auto* piece = std::get_if<Snapshot>(&entry.Record().Body());
    if (piece == nullptr) {
      continue;
    }
    auto folded = AssembleSnapshot(state.mSnapshotAssembly, *piece, aRead.FirstAvailable());
    if (folded.has_value() && folded->mNextOffset > state.mLog.mNextOffset) {
      state.mLog = *std::move(folded);
      Emit(aWork, ReadLog::Create({ .mFromOffset = state.mLog.mNextOffset }).value());
      EmitNote(aWork,
               NodePart::Log,
               absl::StrCat("Starting from a snapshot at offset ", state.mLog.mNextOffset, "."));
      return true;
    }
  }
  return true;
}

void
ActivateConfig(StepWork& aWork)
{
  auto& state = aWork.mState;
  const auto& current = state.mLog.mConfig.mCurrent;
  if (current.Version() == state.mConfigVersion) {
    return;
  }
  state.mConfigVersion = current.Version();
  auto policy = PolicyFrom(current.Document());
  if (policy.ok()) {
    state.mPolicy = *policy;
  }
  SetTeams(state.mScheduler, current.Document(), state.mQuotaShare);
  Emit(aWork, ConfigInForce::Create({ .mConfig = current }).value());
  EmitNote(
    aWork, NodePart::Config, absl::StrCat("Version ", state.mConfigVersion, " is in force."));
}

void
ApplyLogEntry(StepWork& aWork, const LogEntry& aEntry)
{
  auto& state = aWork.mState;
  const auto result = ApplyEntry(state.mLog, aEntry);
  if (aEntry.Record().Writer() == state.mSettings.Node()) {
    ObserveOwnRecord(aWork, aEntry);
    AnswerCallForRecord(aWork, aEntry.Record().Id(), result);
  }
}

void
ProcessLogChanges(StepWork& aWork)
{
  ActivateConfig(aWork);
  RequestActions actions;
  ObserveClaims(aWork.mState.mRequests, RequestContextOf(aWork), aWork.mNow, actions);
  Apply(aWork, std::move(actions));
  StepControl(aWork);
}

} // namespace

void
ObserveLogRead(StepWork& aWork, const LogRead& aRead)
{
  auto& state = aWork.mState;
  state.mLogFailed = false;
  state.mLogFailedSince = Time();
  if (StartFromSnapshot(aWork, aRead)) {
    return;
  }
  const auto previousOffset = state.mLog.mNextOffset;
  for (const auto& entry : aRead.Entries()) {
    if (entry.Offset() > state.mLog.mNextOffset) {
      Emit(aWork, ReadLog::Create({ .mFromOffset = state.mLog.mNextOffset }).value());
      return;
    }
    ApplyLogEntry(aWork, entry);
  }
  state.mLogReadAt = aWork.mNow;
  state.mLogReadSentAt = aRead.SentAt();
  if (state.mLog.mNextOffset >= aRead.NextOffset() && !state.mCaughtUp) {
    state.mCaughtUp = true;
    EmitNote(
      aWork, NodePart::Log, absl::StrCat("Caught up at offset ", state.mLog.mNextOffset, "."));
  }
  if (state.mLog.mNextOffset != previousOffset) {
    ProcessLogChanges(aWork);
  }
}

void
ObserveLogReadFailed(StepWork& aWork)
{
  auto& state = aWork.mState;
  if (!state.mLogFailed) {
    EmitNote(aWork, NodePart::Log, "The log can't be read.");
  }
  state.mLogFailed = true;
  if (state.mLogFailedSince == Time()) {
    state.mLogFailedSince = aWork.mNow;
  }
}

void
ObserveRecordsFailed(StepWork& aWork, const AppendFailed& aFailed)
{
  for (const auto& record : ObserveAppendFailed(aWork, aFailed)) {
    RefuseCallForRecord(aWork, record);
  }
}

void
ObserveStateQuery(StepWork& aWork, const StateQuery& aQuery)
{
  const auto& state = aWork.mState;
  if (!state.mCaughtUp) {
    return;
  }
  auto transfer =
    StateTransfer::Create({ .mNextOffset = state.mLog.mNextOffset, .mImage = ImageOf(state.mLog) })
      .value();
  auto frame =
    Frame::Create({ .mFrom = state.mSettings.Node(), .mBody = std::move(transfer) }).value();
  Emit(aWork, SendFrame::Create({ .mPeer = aQuery.From(), .mFrame = std::move(frame) }).value());
}

void
ObserveStateTransfer(StepWork& aWork, const StateTransfer& aTransfer)
{
  auto& state = aWork.mState;
  if (state.mCaughtUp || !AdoptImage(state.mLog, aTransfer.Image(), aTransfer.NextOffset())) {
    return;
  }
  state.mCaughtUp = true;
  EmitNote(aWork, NodePart::Log, "Adopted the folded state of a peer.");
  Emit(aWork, ReadLog::Create({ .mFromOffset = state.mLog.mNextOffset }).value());
  ProcessLogChanges(aWork);
}

void
WriteSnapshotIfDue(StepWork& aWork)
{
  auto& state = aWork.mState;
  if (!IsLogFresh(aWork) || state.mDraining) {
    return;
  }
  const SnapshotSchedule schedule{ .mRetention = state.mSettings.Platform().Retention(),
                                   .mRank = RendezvousRank(
                                     LiveNodes(aWork), kSnapshotKey, state.mSettings.Node()),
                                   .mLastAttempt = state.mLastSnapshot };
  if (!IsSnapshotDue(state.mLog, aWork.mNow, schedule)) {
    return;
  }
  state.mLastSnapshot = aWork.mNow;
  const auto expires = aWork.mNow + state.mSettings.Platform().Retention() / 2;
  for (auto& piece : SnapshotPieces(state.mLog, kRowsPerSnapshotPiece)) {
    QueueRecord(aWork, std::move(piece), expires);
  }
}

void
QueryPeersForState(StepWork& aWork)
{
  const auto& state = aWork.mState;
  const bool needsPeerState =
    !state.mCaughtUp && state.mLogFailed && aWork.mNow - state.mLogFailedSince >= kStateQueryDelay;
  if (!needsPeerState) {
    return;
  }
  const auto members = LiveMembers(state.mMembership, state.mSettings.Cluster(), aWork.mNow);
  if (members.empty()) {
    return;
  }
  const auto& peer = members[state.mHeartbeats % members.size()];
  auto query = StateQuery::Create({ .mFrom = state.mSettings.Node() }).value();
  auto frame =
    Frame::Create({ .mFrom = state.mSettings.Node(), .mBody = std::move(query) }).value();
  Emit(aWork, SendFrame::Create({ .mPeer = peer.Node(), .mFrame = std::move(frame) }).value());
}

} // namespace by::detail
