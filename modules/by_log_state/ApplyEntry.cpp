#include "by_log_state/ApplyEntry.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_claims/ApplyRequestClaims.h"
#include "by_config/ApplyConfigPublish.h"
#include "by_intents/ApplyIntentEntry.h"
#include "by_log_state/ApplyRackRecords.h"
#include "by_log_state/LogRecordBody.h"
#include "by_log_state/LogState.h"
#include "by_schema/LogEntry.h"

namespace by {

namespace {

bool
Fold(LogState& aState, const RackClaim& aClaim, Time aAt)
{
  return ApplyRackClaim(aState.mOwners, aClaim, aAt);
}

bool
Fold(LogState& aState, const RackRelease& aRelease, Time aAt)
{
  return ApplyRackRelease(aState.mOwners, aRelease, aAt);
}

bool
Fold(LogState& aState, const ConfigPublish& aChange, Time aAt)
{
  return ApplyConfigPublish(aState.mConfig, aChange, aAt);
}

bool
Fold(LogState& aState, const RequestClaims& aClaims, Time aAt)
{
  ApplyRequestClaims(aState.mClaims, aClaims, aAt);
  return true;
}

/// Records a piece; a snapshot is complete once all its pieces were read.
bool
Fold(LogState& aState, const Snapshot& aSnapshot, Time /*aAt*/)
{
  auto& progress = aState.mSnapshots;
  auto& pieces = progress.mPieces[aSnapshot.NextOffset()];
  pieces.insert(aSnapshot.Piece());
  if (pieces.size() < aSnapshot.Pieces()) {
    return true;
  }
  progress.mNewestSnapshotTime =
    std::max(progress.mNewestSnapshotTime, aSnapshot.Image().LogTime());
  progress.mPieces.erase(progress.mPieces.begin(),
                         progress.mPieces.upper_bound(aSnapshot.NextOffset()));
  return true;
}

/// @returns the epoch of the rack's owner for a record of reports; zero for any other record and
/// for a rack without an owner.
std::uint64_t
EpochOfReports(const LogState& aState, const LogRecordBody& aBody)
{
  const auto* reports = std::get_if<TaskReports>(&aBody);
  const auto* owner = reports == nullptr ? nullptr : OwnerOf(aState, reports->Rack());
  return owner == nullptr || owner->Node().IsEmpty() ? 0 : owner->Epoch();
}

bool
FoldIntents(LogState& aState, const LogEntry& aEntry)
{
  const IntentFoldContext context{ .mRackEpoch = EpochOfReports(aState, aEntry.Record().Body()),
                                   .mConfig = &aState.mConfig.mCurrent.Document() };
  return ApplyIntentEntry(aState.mIntents, aEntry, context);
}

/// Folds one record; any record without an overload of Fold belongs to the intents.
struct FoldRecord
{
  LogState& mState;
  const LogEntry& mEntry;

  template<class Body>
  bool operator()(const Body& aBody) const
  {
    if constexpr (requires { Fold(mState, aBody, mState.mLogTime); }) {
      return Fold(mState, aBody, mState.mLogTime);
    } else {
      return FoldIntents(mState, mEntry);
    }
  }
};

/// Records the id of a record.
/// @returns false if the id was seen before.
bool
AddRecentRecord(LogState& aState, const RecordId& aId)
{
  auto& recent = aState.mRecent;
  if (!recent.mIds.insert(aId).second) {
    return false;
  }
  recent.mInOrder.push_back(aId);
  while (recent.mInOrder.size() > aState.mLimits.mRecentRecords) {
    recent.mIds.erase(recent.mInOrder.front());
    recent.mInOrder.pop_front();
  }
  return true;
}

absl::Status
CheckOffset(const LogState& aState, std::uint64_t aOffset)
{
  const auto text =
    absl::StrCat("entry ", aOffset, " where entry ", aState.mNextOffset, " was expected");
  if (aOffset < aState.mNextOffset) {
    return absl::AlreadyExistsError(text);
  }
  return aOffset > aState.mNextOffset ? absl::OutOfRangeError(text) : absl::OkStatus();
}

} // namespace

ApplyResult
ApplyEntry(LogState& aState, const LogEntry& aEntry)
{
  if (auto status = CheckOffset(aState, aEntry.Offset()); !status.ok()) {
    return { .mStatus = std::move(status) };
  }
  aState.mNextOffset += 1;
  aState.mLogTime = std::max(aState.mLogTime, aEntry.At());
  if (aState.mSnapshots.mNewestSnapshotTime == Time()) {
    aState.mSnapshots.mNewestSnapshotTime = aState.mLogTime;
  }
  RemoveClaimsBefore(aState.mClaims, aState.mLogTime - aState.mLimits.mClaimRetention);
  const auto& record = aEntry.Record();
  if (!record.Id().IsEmpty() && !AddRecentRecord(aState, record.Id())) {
    return { .mAdvanced = true,
             .mStatus = absl::AlreadyExistsError("the record was appended before") };
  }
  const bool accepted = std::visit(FoldRecord{ aState, aEntry }, record.Body());
  return { .mAccepted = accepted,
           .mAdvanced = true,
           .mStatus = accepted ? absl::OkStatus()
                               : absl::FailedPreconditionError("another record came first") };
}

const RackOwner*
OwnerOf(const LogState& aState, const RackId& aRack)
{
  const auto it = aState.mOwners.mRows.find(aRack);
  return it == aState.mOwners.mRows.end() ? nullptr : &it->second;
}

} // namespace by
