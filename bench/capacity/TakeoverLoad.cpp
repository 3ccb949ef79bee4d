#include "TakeoverLoad.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_jobs/by_jobs.h"
#include "by_links/RecordCodec.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Time kNow = Time::FromSeconds(1000);
constexpr std::uint32_t kSteps = 4;
constexpr std::uint32_t kTasksAStep = 3;

/// Keys with the content of their records.
using EncodedRecords = std::vector<std::pair<std::string, std::string>>;

double
MillisecondsSince(Clock::time_point aFrom)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aFrom).count();
}

std::string
JobName(int aNumber)
{
  return absl::StrCat("0123456789", 100000 + aNumber);
}

std::pair<std::string, std::string>
Record(std::string aKey, decltype(CellRecord::Fields::mBody) aBody)
{
  return { std::move(aKey),
           EncodeRecord(CellRecord::Create({ .mBody = std::move(aBody) }).value()) };
}

Job
OpenJob(const std::string& aName)
{
  JobDefinition::Fields definition{ .mPayload = std::string(500, 'x') };
  for (std::uint32_t s = 0; s < kSteps; ++s) {
    JobStep::Fields step{ .mCount = kTasksAStep, .mEstimate = Time::FromMilliseconds(900) };
    step.mDemand = Resources::Create({ .mCpuMillis = 500, .mMemoryMb = 256 }).value();
    if (s > 0) {
      step.mAfter = { s - 1 };
    }
    definition.mSteps.push_back(JobStep::Create(std::move(step)).value());
  }
  const auto queue = QueuePolicy::Create({ .mHost = "h",
                                           .mPathPrefix = "/q/",
                                           .mPool = "pool",
                                           .mMaxAttempts = 3,
                                           .mSlowdownLimit = 2,
                                           .mSlack = Time::FromMilliseconds(1000) })
                       .value();
  return Job::Create({ .mId = aName,
                       .mQueue = queue,
                       .mDefinition = JobDefinition::Create(std::move(definition)).value(),
                       .mAccepted = kNow })
    .value();
}

/// The records of a cell in the order of their keys. Of an open job the first step is done and the
/// second is running.
EncodedRecords
MakeRecords(int aEndedJobs, int aOpenJobs, int aWorkers)
{
  EncodedRecords records;
  records.reserve(static_cast<std::size_t>(aEndedJobs) +
                  static_cast<std::size_t>(aOpenJobs) * (1 + 2 * kTasksAStep));
  for (int i = 0; i < aOpenJobs; ++i) {
    records.push_back(Record(JobRecordKey(JobName(i)), OpenJob(JobName(i))));
  }
  for (int i = 0; i < aEndedJobs; ++i) {
    const auto name = JobName(aOpenJobs + i);
    records.push_back(
      Record(OutcomeRecordKey(name), JobOutcome::Create({ .mJob = name, .mEnded = kNow }).value()));
  }
  int worker = 0;
  for (int i = 0; i < aOpenJobs; ++i) {
    for (std::uint32_t n = 0; n < 2 * kTasksAStep; ++n) {
      TaskProgress::Fields progress{ .mPhase = JobTaskPhase::Done, .mRun = 1 };
      if (n >= kTasksAStep) {
        progress.mPhase = JobTaskPhase::Assigned;
        progress.mWorker = absl::StrCat("00c0ffee", 1000 + worker++ % aWorkers);
        progress.mWorkerProcessStart = kNow;
      }
      auto task =
        TaskRecord::Create({ .mJob = JobName(i),
                             .mIndex = n,
                             .mProgress = TaskProgress::Create(std::move(progress)).value() })
          .value();
      records.push_back(Record(TaskRecordKey(JobName(i), 0, n), std::move(task)));
    }
  }
  return records;
}

} // namespace

TakeoverLoad
MeasureTakeover(int aEndedJobs, int aOpenJobs, int aWorkers)
{
  TakeoverLoad load;
  const auto records = MakeRecords(aEndedJobs, aOpenJobs, aWorkers);
  load.mRecords = std::ssize(records);
  for (const auto& [key, content] : records) {
    load.mBytes += std::ssize(key) + std::ssize(content);
  }
  auto from = Clock::now();
  std::vector<KeyedRecord> decoded;
  decoded.reserve(records.size());
  for (const auto& [key, content] : records) {
    decoded.push_back(
      KeyedRecord::Create({ .mKey = key, .mRecord = DecodeRecord(content).value() }).value());
  }
  load.mDecodeMilliseconds = MillisecondsSince(from);
  from = Clock::now();
  CellState empty;
  empty.mEpoch = 1;
  Effects out;
  const auto cell = RestoreCell(std::move(empty), decoded, kNow, out);
  load.mRestoreMilliseconds = MillisecondsSince(from);
  return load;
}

} // namespace by
