#include <algorithm>
#include <set>

#include "absl/strings/match.h"

#include "by_cell/CellFixture.h"
#include "by_cell/TakeAll.h"
#include "by_cell/detail/AppendSize.h"
#include "by_jobs/by_jobs.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

const TaskProgress&
ProgressOf(const CellFixture& aCell, const std::string& aJob, std::size_t aIndex)
{
  return aCell.mCell.mJobs.at(aJob).mOccurrences.at(0).mTasks.at(aIndex).mProgress;
}

/// Ends a run on a worker and advances until the append with the change is sent.
std::vector<KeyedRecord>
RecordsOfAnEnd(CellFixture& aCell,
               const std::string& aWorker,
               std::uint64_t aNumber,
               const RunId& aRun)
{
  aCell.mOut.clear();
  aCell.Poll(aWorker, {}, { CellFixture::Ended(aNumber, aRun, RunEnd::Done) });
  aCell.mNow = aCell.mNow + Time::FromMilliseconds(20);
  aCell.Advance();
  const auto appends = TakeAll<AppendToCell>(aCell.mOut);
  return appends.empty() ? std::vector<KeyedRecord>() : appends.back().Records();
}

bool
AreAllOutcomes(const std::vector<KeyedRecord>& aRecords)
{
  return std::all_of(aRecords.begin(), aRecords.end(), [](const KeyedRecord& aRecord) {
    return absl::StartsWith(aRecord.Key(), "outcome/");
  });
}

KeyedRecord
Record(std::string aKey, decltype(CellRecord::Fields::mBody) aBody)
{
  return KeyedRecord::Create(
           { .mKey = std::move(aKey),
             .mRecord = CellRecord::Create({ .mBody = std::move(aBody) }).value() })
    .value();
}

TaskProgress
DoneTask()
{
  return TaskProgress::Create({ .mPhase = JobTaskPhase::Done, .mRun = 1 }).value();
}

} // namespace

TEST_GROUP(Records){};

TEST(Records, DoneTaskIsRecordedAloneAndWithoutItsPlace)
{
  // Guards against a record that grows with the width of the job and is written once for each of
  // its tasks, which fills the owner's link.
  CellFixture cell(2);
  cell.Submit("j", { CellFixture::Step(1), CellFixture::Step(1), CellFixture::Step(1) });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(3, starts.size());
  const auto& first = starts.front();
  const auto records = RecordsOfAnEnd(cell, first.Worker(), 1, RunId{ first.Task(), first.Run() });
  CHECK_EQUAL(1, records.size());
  const auto* task = std::get_if<TaskRecord>(&records.front().Record()->Body());
  CHECK(task != nullptr);
  CHECK(task->Progress() == DoneTask());
}

TEST(Records, EndedJobDropsWhatWasWrittenAndNothingElse)
{
  // The second step never begins, so that its task has no record.
  CellFixture cell;
  auto second = CellFixture::Step(3);
  second.mAfter = { 0 };
  cell.Submit("j", { CellFixture::Step(2), second });
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  CHECK_EQUAL(1, cell.Stored().size());
  CHECK(AreAllOutcomes(cell.Stored()));
  std::set<std::string> written;
  for (const auto& record : cell.mRecords) {
    CHECK(record.Record() || written.contains(record.Key()));
    written.insert(record.Key());
  }
}

TEST(Records, SuccessorDropsTheRecordsOfItsPredecessor)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(2) });
  auto next = cell.Successor();
  next.Call(JobCallKind::Cancel, "j");
  next.StoreAll();
  CHECK_EQUAL(1, next.Stored().size());
  CHECK(AreAllOutcomes(next.Stored()));
}

TEST(Records, OccurrenceOfAnEarlierVersionIsReadAndDropped)
{
  // The earlier version recorded both tasks; the record of the second task is newer.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(3) });
  const auto job = cell.mCell.mJobs.at("j").mJob;
  auto failed =
    TaskProgress::Create({ .mPhase = JobTaskPhase::Waiting, .mRun = 1, .mFailedRuns = { 1 } })
      .value();
  CellFixture earlier;
  earlier.mCell.mEpoch = cell.mCell.mEpoch;
  earlier.mRecords = {
    Record(JobRecordKey("j"), job),
    Record(ProgressRecordKey("j", 0),
           OccurrenceProgress::Create(
             { .mJob = "j", .mIndex = 0, .mTasks = { DoneTask(), failed, failed } })
             .value()),
    Record(
      TaskRecordKey("j", 0, 1),
      TaskRecord::Create({ .mJob = "j", .mOccurrence = 0, .mIndex = 1, .mProgress = DoneTask() })
        .value())
  };
  auto next = earlier.Successor();
  CHECK(ProgressOf(next, "j", 0) == DoneTask());
  CHECK(ProgressOf(next, "j", 1) == DoneTask());
  CHECK_EQUAL(1, ProgressOf(next, "j", 2).FailedRuns().size());
  next.Call(JobCallKind::Cancel, "j");
  next.StoreAll();
  CHECK_EQUAL(1, next.Stored().size());
  CHECK(AreAllOutcomes(next.Stored()));
}

TEST(Records, RejectedJobLeavesNoTaskInItsBatch)
{
  // A batch that the store rejected is sent again without its jobs; a task's record that stayed in
  // it would be kept for good.
  CellFixture cell;
  cell.Submit("k", { CellFixture::Step(1), CellFixture::Step(1) });
  const auto start = cell.TakeStarts().front();
  cell.Poll(start.Worker(),
            {},
            { CellFixture::Ended(1, RunId{ start.Task(), start.Run() }, RunEnd::Done) });
  cell.StoreAll();
  cell.mOut.clear();
  cell.SubmitUnstored("j", { CellFixture::Step(2) });
  cell.Call(JobCallKind::Cancel, "k");
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  const auto& batch = cell.mCell.mInFlight->mRecords;
  CHECK(std::any_of(batch.begin(), batch.end(), [](const KeyedRecord& aRecord) {
    return absl::StartsWith(aRecord.Key(), "task/j/");
  }));
  cell.Store(StoreOutcome::Refused);
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK_EQUAL(1, cell.Stored().size());
  CHECK(AreAllOutcomes(cell.Stored()));
}

TEST(Records, OccurrenceIsRestoredThoughTheSuccessorsClockIsBehind)
{
  // By the successor's clock the occurrence is not due yet. If its records were left aside, its
  // tasks would run again, and the records would never be dropped.
  CellFixture cell;
  auto request = cell.Submission("j", { CellFixture::Step(1) });
  auto fields = request.Definition()->ToFields();
  fields.mOccurrences = 3;
  fields.mFirstDue = cell.mNow + Time::FromSeconds(1);
  fields.mInterval = Time::FromSeconds(60);
  HandleRequest(cell.mCell,
                { "owner", 1 },
                request.WithDefinition(JobDefinition::Create(std::move(fields)).value()),
                cell.mNow,
                cell.mOut);
  cell.AdvanceTimeStoring(Time::FromMilliseconds(1500));
  CHECK(ProgressOf(cell, "j", 0).Phase() == JobTaskPhase::Assigned);
  cell.mNow = cell.mNow - Time::FromSeconds(1);
  auto next = cell.Successor();
  CHECK_EQUAL(1, next.mCell.mJobs.at("j").mOccurrences.size());
  CHECK(ProgressOf(next, "j", 0) == ProgressOf(cell, "j", 0));
  next.Call(JobCallKind::Cancel, "j");
  next.StoreAll();
  CHECK_EQUAL(1, next.Stored().size());
  CHECK(AreAllOutcomes(next.Stored()));
}

TEST(Records, LargeBatchIsSentInPartsAndActedOnOnceAllAreStored)
{
  // Guards against an append that can't reach the store within its time limit over a narrow link:
  // it is sent again unchanged for as long as the owner lives, and nothing else is stored.
  CellFixture cell(10);
  cell.mCell.mSettings = cell.mCell.mSettings.WithAppendLimit(4096);
  cell.SubmitUnstored("j", { CellFixture::Step(40) });
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  std::size_t calls = 0;
  while (cell.mCell.mInFlight && !cell.mCell.mInFlight->mFurtherRecords.empty()) {
    const auto& records = cell.mCell.mInFlight->mRecords;
    CHECK(detail::SplitRecords(records, 4096).size() == 1);
    cell.Store();
    ++calls;
    CHECK(cell.TakeReplies().empty());
    CHECK(cell.TakeStarts().empty());
  }
  CHECK(calls > 0);
  cell.Store();
  CHECK(cell.TakeReplies().back().Outcome() == JobCallOutcome::Accepted);
  CHECK_EQUAL(40, cell.TakeStarts().size());
}

TEST(Records, RefusalAfterAStoredPartIsNoRefusalOfTheJob)
{
  // The record of the job is stored by the first part. A refusal of the second one that was passed
  // on would be false: the successor runs the job.
  CellFixture cell(10);
  cell.mCell.mSettings = cell.mCell.mSettings.WithAppendLimit(4096);
  cell.SubmitUnstored("j", { CellFixture::Step(40) });
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  cell.Store();
  cell.Store(StoreOutcome::Refused);
  CHECK(cell.TakeReplies().empty());
  cell.AdvanceTimeStoring(Time::FromMilliseconds(500));
  CHECK(cell.TakeReplies().back().Outcome() == JobCallOutcome::Accepted);
}

TEST(Records, SuccessorDropsTheRecordsThatAnEndedJobLeft)
{
  // The owner is lost after the part of a batch with the outcome and before that with the
  // deletions. Once the outcome is no longer kept, a later owner would run the job again.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(2) });
  const auto left = cell.mRecords;
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  CHECK_EQUAL(1, cell.Stored().size());
  cell.mRecords.insert(cell.mRecords.end(), left.begin(), left.end());
  auto next = cell.Successor();
  next.StoreAll();
  CHECK_EQUAL(1, next.Stored().size());
  CHECK(AreAllOutcomes(next.Stored()));
}
