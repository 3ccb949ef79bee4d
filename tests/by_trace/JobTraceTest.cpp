#include "by_trace/by_trace.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr const char* kJob = "0123456789abcdef";

LogRecord
Record(std::int64_t aMs, std::string aEvent, std::string aSubject, std::string aDetail = "")
{
  return { Time::FromMilliseconds(aMs), "n1", std::move(aEvent), std::move(aSubject), aDetail };
}

} // namespace

TEST_GROUP(JobTrace){};

TEST(JobTrace, StagesAndReasonsOfAJobThatWaited)
{
  const auto trace =
    TraceJob(kJob,
             { Record(9000, "job.ended", kJob, "state=completed age_ms=8000"),
               Record(1000, "job.received", kJob, "queue=/q/"),
               Record(1010, "job.accepted", kJob),
               Record(3000, "step.waiting", "0123456789abcdef.0.1", "for=advice tasks=20"),
               Record(4000, "step.waiting", "0123456789abcdef.0.1", "for=capacity tasks=20"),
               Record(5000, "step.waiting", "0123456789abcdef.0.1", "for=capacity tasks=20"),
               Record(5500, "task.placed", "0123456789abcdef.0.1.0#1"),
               Record(8900, "run.ended", "0123456789abcdef.0.1.0#1", "worker=w how=done known=1"),
               Record(5500, "task.placed", "fedcba9876543210.0.1.0#1") });
  CHECK(trace.has_value());
  STRCMP_EQUAL("completed", trace->mOutcome.c_str());
  CHECK(trace->mGap.empty());
  CHECK_EQUAL(5, trace->mStages.size());
  STRCMP_EQUAL("received", trace->mStages.front().mName.c_str());
  STRCMP_EQUAL("ended", trace->mStages.back().mName.c_str());
  CHECK(trace->mReasons == (std::vector<TraceReason>{ { "run ended", "done", 1 },
                                                      { "waiting", "advice", 1 },
                                                      { "waiting", "capacity", 2 } }));
  CHECK_EQUAL(8, trace->mRecords.size());
}

TEST(JobTrace, CrashesOfWorkersAreReasonsOfAFailedJob)
{
  const auto trace = TraceJob(
    kJob,
    { Record(1000, "job.received", kJob),
      Record(2000, "task.suspected", "0123456789abcdef.0.0.0#1", "worker=w role=suspect crashes=1"),
      Record(6000, "task.suspected", "0123456789abcdef.0.0.0#2", "worker=v role=sole_suspect"),
      Record(
        9000, "task.given_up", "0123456789abcdef.0.0.0#3", "reason=crashes its workers crashes=3"),
      Record(9000, "job.ended", kJob, "state=failed age_ms=8000") });
  CHECK(trace->mReasons ==
        (std::vector<TraceReason>{ { "suspected", "sole_suspect", 1 },
                                   { "suspected", "suspect", 1 },
                                   { "task given up", "crashes its workers", 1 } }));
}

TEST(JobTrace, OutageBesideAJobIsPartOfItsTrail)
{
  const auto trace =
    TraceJob(kJob,
             { Record(1000, "job.received", kJob),
               Record(2000, "store.lost", "append", "outcome=unanswered"),
               Record(2000, "store.lost", "keyed.claims", "by=read"),
               Record(2200, "job.refused", kJob, "reason=store out of reach retry_after_ms=1000"),
               Record(90000, "owner.claimed", "epoch 9") });
  CHECK_EQUAL(3, trace->mRecords.size());
  CHECK(trace->mReasons == (std::vector<TraceReason>{ { "refused", "store out of reach", 1 } }));
}

TEST(JobTrace, MissingLogsAreSaid)
{
  CHECK(!TraceJob(kJob, { Record(1, "owner.claimed", "epoch 2") }).has_value());
  CHECK(!TraceJob(kJob, { Record(1, "job.accepted", kJob) })->mGap.empty());
  CHECK(!TraceJob(kJob, { Record(1, "job.received", kJob), Record(2, "job.accepted", kJob) })
           ->mGap.empty());
}
