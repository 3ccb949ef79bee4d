#include "LargeCell.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_cell/detail/Jobs.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Time kNow = Time::FromSeconds(1000);
constexpr std::uint32_t kSteps = 4;
constexpr std::uint32_t kTasksAStep = 10;
constexpr int kQueues = 60;

double
MillisecondsSince(Clock::time_point aFrom)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aFrom).count();
}

ClusterConfig
Configuration()
{
  ClusterConfig::Fields config{ .mVersion = 1 };
  for (int i = 0; i < kQueues; ++i) {
    config.mQueues.push_back(QueuePolicy::Create({ .mHost = "host.example",
                                                   .mPathPrefix = absl::StrCat("/queue", i, "/"),
                                                   .mPool = "pool",
                                                   .mMaxAttempts = 3,
                                                   .mSlowdownLimit = 2,
                                                   .mSlack = Time::FromMilliseconds(1000) })
                               .value());
  }
  return ClusterConfig::Create(std::move(config)).value();
}

std::vector<KeyedRecord>
Jobs(const ClusterConfig& aConfig, int aJobs)
{
  JobDefinition::Fields definition;
  for (std::uint32_t s = 0; s < kSteps; ++s) {
    JobStep::Fields step{ .mCount = kTasksAStep, .mEstimate = Time::FromMilliseconds(900) };
    if (s > 0) {
      step.mAfter = { s - 1 };
    }
    definition.mSteps.push_back(JobStep::Create(std::move(step)).value());
  }
  const auto steps = JobDefinition::Create(std::move(definition)).value();
  std::vector<KeyedRecord> records;
  records.reserve(static_cast<std::size_t>(aJobs));
  for (int i = 0; i < aJobs; ++i) {
    const auto name = absl::StrCat("0123456789", 100000 + i);
    auto job = Job::Create({ .mId = name,
                             .mQueue = aConfig.Queues()[static_cast<std::size_t>(i % kQueues)],
                             .mDefinition = steps,
                             .mAccepted = kNow })
                 .value();
    records.push_back(
      KeyedRecord::Create({ .mKey = JobRecordKey(name),
                            .mRecord = CellRecord::Create({ .mBody = std::move(job) }).value() })
        .value());
  }
  return records;
}

WorkersChanged
Registry(int aWorkers)
{
  WorkersChanged::Fields workers;
  workers.mComplete = true;
  for (int i = 0; i < aWorkers; ++i) {
    workers.mPresent.push_back(
      WorkerRegistration::Create(
        { .mId = absl::StrCat("00c0ffee", 1000 + i),
          .mPool = "pool",
          .mEndpoint = Endpoint::Create({ .mAddress = "10.0.0.1", .mPort = 9000 + i }).value() })
        .value());
  }
  return WorkersChanged::Create(std::move(workers)).value();
}

} // namespace

LargeCell
MeasureLargeCell(int aWorkers, int aJobs)
{
  const auto config = Configuration();
  CellState empty;
  empty.mEpoch = 1;
  empty.mConfig = config;
  Effects out;
  auto cell = RestoreCell(std::move(empty), Jobs(config, aJobs), kNow, out);
  const auto workers = Registry(aWorkers);
  HandleWorkersChanged(cell, workers, kNow, out);
  LargeCell load;
  auto from = Clock::now();
  HandleWorkersChanged(cell, workers, kNow, out);
  load.mRegistryMilliseconds = MillisecondsSince(from);
  from = Clock::now();
  ConfigureCell(cell, config.WithVersion(2));
  load.mConfigurationMilliseconds = MillisecondsSince(from);
  // The jobs are late by now, so that the place of every ready step changes.
  from = Clock::now();
  detail::UpdateUrgency(cell, kNow + Time::FromSeconds(10));
  load.mUrgencyMilliseconds = MillisecondsSince(from);
  return load;
}

} // namespace by
