#include "by_log_state/Snapshots.h"

#include <algorithm>

#include "by_log_state/LogStateImages.h"
#include "by_log_state/SnapshotAssembly.h"
#include "by_schema/Snapshot.h"

namespace by {

namespace {

/// A snapshot is due when the newest one is older than this fraction of the retention.
constexpr std::int64_t kDueRetentionDivisor = 4;
/// Each further rank takes over after this additional fraction of the retention.
constexpr std::int64_t kTakeoverRetentionDivisor = 16;

/// Collects rows into pieces of limited size.
struct PieceWriter
{
  std::size_t mLimit;
  LogStateImage::Fields mCommon;
  std::vector<LogStateImage::Fields> mPieces{};
  std::size_t mRows{ 0 };

  /// @returns the piece for a row that counts as aWeight rows.
  LogStateImage::Fields& PieceFor(std::size_t aWeight)
  {
    if (mPieces.empty() || (mRows > 0 && mRows + aWeight > mLimit)) {
      mPieces.push_back(mCommon);
      mRows = 0;
    }
    mRows += aWeight;
    return mPieces.back();
  }
};

void
WriteRows(PieceWriter& aWriter, const LogStateImage& aImage)
{
  aWriter.PieceFor(1).mConfig = aImage.Config();
  for (const auto& row : aImage.Owners()) {
    aWriter.PieceFor(1).mOwners.push_back(row);
  }
  for (const auto& row : aImage.Claims()) {
    aWriter.PieceFor(1).mClaims.push_back(row);
  }
  for (const auto& row : aImage.Intents()) {
    aWriter.PieceFor(1 + row.Tasks().size()).mIntents.push_back(row);
  }
  for (const auto& row : aImage.TeamVersions()) {
    aWriter.PieceFor(1).mTeamVersions.push_back(row);
  }
  for (const auto& id : aImage.RecentRecords()) {
    aWriter.PieceFor(1).mRecentRecords.push_back(id);
  }
}

template<class Row>
void
Append(std::vector<Row>& aTo, const std::vector<Row>& aRows)
{
  aTo.insert(aTo.end(), aRows.begin(), aRows.end());
}

LogStateImage
JoinPieces(const absl::btree_map<std::uint32_t, Snapshot>& aPieces)
{
  LogStateImage::Fields all;
  for (const auto& [number, piece] : aPieces) {
    const auto& image = piece.Image();
    Append(all.mOwners, image.Owners());
    Append(all.mClaims, image.Claims());
    Append(all.mIntents, image.Intents());
    Append(all.mTeamVersions, image.TeamVersions());
    Append(all.mRecentRecords, image.RecentRecords());
    if (number == 0) {
      all.mConfig = image.Config();
    }
    all.mLogTime = image.LogTime();
    all.mSnapshotTime = std::max(image.SnapshotTime(), image.LogTime());
  }
  return LogStateImage::Create(std::move(all)).value();
}

} // namespace

bool
IsSnapshotDue(const LogState& aState, Time aNow, const SnapshotSchedule& aSchedule)
{
  if (aState.mNextOffset == 0) {
    return false;
  }
  const auto step = aSchedule.mRetention / kTakeoverRetentionDivisor;
  const auto wait = aSchedule.mRetention / kDueRetentionDivisor +
                    step * static_cast<std::int64_t>(std::min<std::size_t>(aSchedule.mRank, 4));
  const bool triedRecently =
    aSchedule.mLastAttempt > Time() && aNow - aSchedule.mLastAttempt < step;
  return !triedRecently && aNow - aState.mSnapshots.mNewestSnapshotTime >= wait;
}

std::vector<Snapshot>
SnapshotPieces(const LogState& aState, std::size_t aRowsPerPiece)
{
  const auto image = ImageOf(aState);
  PieceWriter writer{ .mLimit = aRowsPerPiece,
                      .mCommon = { .mLogTime = image.LogTime(),
                                   .mSnapshotTime = image.SnapshotTime() } };
  WriteRows(writer, image);
  std::vector<Snapshot> pieces;
  for (auto& fields : writer.mPieces) {
    pieces.push_back(
      Snapshot::Create({ .mNextOffset = aState.mNextOffset,
                         .mPiece = static_cast<std::uint32_t>(pieces.size()),
                         .mPieces = static_cast<std::uint32_t>(writer.mPieces.size()),
                         .mImage = LogStateImage::Create(std::move(fields)).value() })
        .value());
  }
  return pieces;
}

std::optional<LogState>
AssembleSnapshot(SnapshotAssembly& aAssembly,
                 const Snapshot& aPiece,
                 std::uint64_t aFirstAvailable,
                 FoldLimits aLimits)
{
  if (aPiece.NextOffset() < aFirstAvailable) {
    return std::nullopt;
  }
  auto& pieces = aAssembly.mPieces[aPiece.NextOffset()];
  pieces.insert_or_assign(aPiece.Piece(), aPiece);
  if (pieces.size() < aPiece.Pieces()) {
    return std::nullopt;
  }
  return FromImage(JoinPieces(pieces), aPiece.NextOffset(), aLimits);
}

} // namespace by
