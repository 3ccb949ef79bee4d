#include "by_log_state/LogStateImages.h"

#include "by_claims/ApplyRequestClaims.h"
#include "by_config/ApplyConfigPublish.h"
#include "by_intents/IntentRows.h"
#include "by_log_state/ApplyRackRecords.h"
#include "by_schema/LogStateImage.h"

namespace by {

LogStateImage
ImageOf(const LogState& aState)
{
  LogStateImage::Fields fields;
  for (const auto& [rack, row] : aState.mOwners.mRows) {
    fields.mOwners.push_back(row);
  }
  for (const auto& [key, row] : aState.mClaims.mRows) {
    fields.mClaims.push_back(row);
  }
  fields.mIntents = IntentRows(aState.mIntents);
  fields.mTeamVersions = TeamVersions(aState.mIntents);
  fields.mConfig = aState.mConfig.mCurrent;
  fields.mRecentRecords.assign(aState.mRecent.mInOrder.begin(), aState.mRecent.mInOrder.end());
  fields.mLogTime = aState.mLogTime;
  fields.mSnapshotTime = aState.mSnapshots.mNewestSnapshotTime;
  return LogStateImage::Create(std::move(fields)).value();
}

LogState
FromImage(const LogStateImage& aImage, std::uint64_t aNextOffset, FoldLimits aLimits)
{
  LogState state;
  state.mNextOffset = aNextOffset;
  state.mLogTime = aImage.LogTime();
  state.mLimits = aLimits;
  for (const auto& row : aImage.Owners()) {
    PutRackOwner(state.mOwners, row);
  }
  for (const auto& row : aImage.Claims()) {
    RestoreClaim(state.mClaims, row);
  }
  state.mIntents = IntentTableFrom(aImage.Intents(), aImage.TeamVersions());
  RestoreConfig(state.mConfig, aImage.Config());
  for (const auto& id : aImage.RecentRecords()) {
    state.mRecent.mInOrder.push_back(id);
    state.mRecent.mIds.insert(id);
  }
  state.mSnapshots.mNewestSnapshotTime = aImage.SnapshotTime();
  return state;
}

bool
AdoptImage(LogState& aState, const LogStateImage& aImage, std::uint64_t aNextOffset)
{
  if (aNextOffset <= aState.mNextOffset ||
      aImage.Config().Version() < aState.mConfig.mCurrent.Version()) {
    return false;
  }
  aState = FromImage(aImage, aNextOffset, aState.mLimits);
  return true;
}

} // namespace by
