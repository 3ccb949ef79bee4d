#include <CppUTest/TestHarness.h>

#include "by_claims/by_claims.h"
#include "by_schema/LogStateImage.h"
#include "by_schema/Snapshot.h"
#include "support/LogText.h"

using namespace by;
using namespace by::test;

TEST_GROUP(LogState)
{
  LogState mState;

  void AppendSome(int aCount)
  {
    for (int it = 0; it < aCount; ++it) {
      const auto at = Ms(1000 + static_cast<std::int64_t>(mState.mNextOffset));
      Append(mState, at, ClaimRun(absl::StrCat("label-", it), absl::StrCat("r-", it)));
      Append(mState, at, ClaimRack(absl::StrCat("rack-", it % 7), "node-1", it / 7));
      Append(mState, at, Publish(it, "ana"));
    }
  }
};

TEST(LogState, EntryAfterAGapIsRefused)
{
  const auto result = ApplyEntry(mState, EntryAt(3, Ms(1), Publish(0, "ana"), "a"));
  CHECK_FALSE(result.mAdvanced);
  CHECK(absl::IsOutOfRange(result.mStatus));
  UNSIGNED_LONGS_EQUAL(0, mState.mNextOffset);
}

TEST(LogState, EntryReadTwiceIsAppliedOnce)
{
  const auto entry = EntryAt(0, Ms(1), Publish(0, "ana"), "a");
  CHECK_TRUE(ApplyEntry(mState, entry).mAccepted);
  CHECK_FALSE(ApplyEntry(mState, entry).mAdvanced);
  UNSIGNED_LONGS_EQUAL(1, mState.mNextOffset);
}

TEST(LogState, RecordAppendedTwiceAfterALostAnswerIsAppliedOnce)
{
  Append(mState, Ms(1), ClaimRun("booking-1", "r1"), "same");
  Append(mState, Ms(2), ClaimRun("booking-1", "r1", true), "release");
  const auto repeat = Append(mState, Ms(3), ClaimRun("booking-1", "r1"), "same");
  CHECK_FALSE(repeat.mAccepted);
  CHECK_TRUE(repeat.mAdvanced);
  POINTERS_EQUAL(nullptr, FindClaim(mState.mClaims, TeamId("arreo"), "booking-1"));
}

TEST(LogState, OfTwoClaimsForARackTheFirstInTheLogWins)
{
  CHECK_TRUE(Append(mState, Ms(1), ClaimRack("rack-1", "node-1", 0)).mAccepted);
  CHECK_FALSE(Append(mState, Ms(2), ClaimRack("rack-1", "node-2", 0)).mAccepted);
  STRCMP_EQUAL("node-1", OwnerOf(mState, RackId("rack-1"))->Node().Text().c_str());
  UNSIGNED_LONGS_EQUAL(1, OwnerOf(mState, RackId("rack-1"))->Epoch());
}

TEST(LogState, ReleaseByAReplacedProcessIsRefused)
{
  Append(mState, Ms(1), ClaimRack("rack-1", "node-1", 0, 5));
  const auto release = RackRelease::Create(
    { .mRack = RackId("rack-1"), .mNode = NodeId("node-1"), .mIncarnation = 4, .mEpoch = 1 });
  CHECK_FALSE(Append(mState, Ms(2), release.value()).mAccepted);
  CHECK_TRUE(Append(mState, Ms(3), release.value().WithIncarnation(5)).mAccepted);
  CHECK_TRUE(OwnerOf(mState, RackId("rack-1"))->Node().IsEmpty());
  CHECK_TRUE(Append(mState, Ms(4), ClaimRack("rack-1", "node-2", 1)).mAccepted);
  CHECK_TRUE(OwnerOf(mState, RackId("rack-1"))->Released());
}

TEST(LogState, StaleStateOfAPeerDoesNotReplaceTheNewerOne)
{
  AppendSome(1);
  const auto stale = ImageOf(mState);
  const auto offset = mState.mNextOffset;
  Append(mState, Ms(5000), Publish(1, "bo"));
  CHECK_FALSE(AdoptImage(mState, stale, offset));
  CHECK_FALSE(AdoptImage(mState, stale, offset + 5));
  UNSIGNED_LONGS_EQUAL(2, mState.mConfig.mCurrent.Version());
}

TEST(LogState, FreshNodeStartsFromASnapshotAndFoldsLikeTheOthers)
{
  AppendSome(40);
  SnapshotAssembly assembly;
  std::optional<LogState> fresh;
  const auto pieces = SnapshotPieces(mState, 16);
  CHECK(pieces.size() > 5);
  for (const auto& piece : pieces) {
    CHECK_FALSE(fresh.has_value());
    fresh = AssembleSnapshot(assembly, piece, 10);
  }
  CHECK_TRUE(fresh.has_value());
  CHECK(ImageOf(*fresh) == ImageOf(mState).WithSnapshotTime(mState.mLogTime));
  const auto next = EntryAt(mState.mNextOffset, Ms(9000), Publish(40, "bo"), "next");
  CHECK_TRUE(ApplyEntry(mState, next).mAccepted);
  CHECK_TRUE(ApplyEntry(*fresh, next).mAccepted);
  const auto repeat = EntryAt(mState.mNextOffset, Ms(9001), ClaimRun("x", "y"), "record-0");
  CHECK_FALSE(ApplyEntry(*fresh, repeat).mAccepted);
}

TEST(LogState, ConfirmedIntentOutlivesItsRecordsInASnapshot)
{
  const auto spec =
    IntentSpec::Create({ .mName = "convoy", .mTeam = TeamId("arreo"), .mTasks = 3 }).value();
  const auto plan = Plan::Create(
    { .mIntent = IntentId("i-1"), .mSpec = spec, .mExpires = Ms(9000), .mFeasible = true });
  const auto confirm =
    IntentConfirm::Create({ .mIntent = IntentId("i-1"), .mTeam = TeamId("arreo") });
  CHECK_TRUE(Append(mState, Ms(1000), plan.value()).mAccepted);
  CHECK_TRUE(Append(mState, Ms(1001), confirm.value()).mAccepted);
  CHECK_FALSE(Append(mState, Ms(1002), confirm.value()).mAccepted);
  SnapshotAssembly assembly;
  const auto fresh = AssembleSnapshot(assembly, SnapshotPieces(mState, 100).front(), 0);
  CHECK(ImageOf(*fresh).Intents() == ImageOf(mState).Intents());
  UNSIGNED_LONGS_EQUAL(1, ImageOf(*fresh).Intents().size());
}

TEST(LogState, SnapshotThatContinuesFromExpiredRecordsIsNotUsed)
{
  AppendSome(1);
  SnapshotAssembly assembly;
  CHECK_FALSE(AssembleSnapshot(assembly, SnapshotPieces(mState, 1000).front(), 4).has_value());
}

TEST(LogState, SnapshotIsDueAgainWhereAPieceIsMissing)
{
  AppendSome(10);
  const SnapshotSchedule schedule{ .mRetention = Ms(4000) };
  const auto now = mState.mLogTime + Ms(1100);
  CHECK_TRUE(IsSnapshotDue(mState, now, schedule));
  const auto pieces = SnapshotPieces(mState, 8);
  for (std::size_t it = 0; it + 1 < pieces.size(); ++it) {
    Append(mState, now, pieces[it]);
  }
  CHECK_TRUE(IsSnapshotDue(mState, now, schedule));
  Append(mState, now, pieces.back());
  CHECK_FALSE(IsSnapshotDue(mState, mState.mLogTime - Ms(200), schedule));
}

TEST(LogState, SnapshotWriterThatDiedIsReplacedByTheNextInRank)
{
  AppendSome(1);
  const auto start = mState.mSnapshots.mNewestSnapshotTime;
  const SnapshotSchedule second{ .mRetention = Ms(16000), .mRank = 1 };
  CHECK_FALSE(IsSnapshotDue(mState, start + Ms(4500), second));
  CHECK_TRUE(IsSnapshotDue(mState, start + Ms(5000), second));
}

TEST(LogState, RecordIdsAreEvictedInLogOrderOnEveryNode)
{
  mState.mLimits.mRecentRecords = 2;
  for (const auto* id : { "a", "b", "c" }) {
    Append(mState, Ms(1), ClaimRun(id, id), id);
  }
  auto restored = FromImage(ImageOf(mState), mState.mNextOffset, mState.mLimits);
  CHECK_TRUE(Append(mState, Ms(2), ClaimRun("x", "x"), "a").mAccepted);
  CHECK_TRUE(Append(restored, Ms(2), ClaimRun("x", "x"), "a").mAccepted);
  CHECK_FALSE(Append(restored, Ms(2), ClaimRun("x", "x"), "c").mAccepted);
}
