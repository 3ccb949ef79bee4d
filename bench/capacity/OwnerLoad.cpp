#include "OwnerLoad.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_links/RecordCodec.h"
#include "by_schema/EntryEvent.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Time kStart = Time::FromSeconds(1000);
constexpr std::int64_t kWorkersARack = 8;
constexpr int kAppendMs = 5;
constexpr int kOrderMs = 2;
constexpr int kMaxPollMs = 1000;
constexpr const char* kPool = "pool";
constexpr int kMillisInSecond = 1000;

/// A run on a simulated worker.
struct SimulatedRun
{
  JobTaskKey mTask;
  std::uint32_t mRun{ 0 };
  std::int64_t mEndsAt{ 0 };
};

struct SimulatedWorker
{
  std::vector<SimulatedRun> mRuns;
  std::vector<EndedRun> mEnded;
  std::uint64_t mLastEnd{ 0 };
  bool mHasPoll{ false };
  std::int64_t mPollUntil{ 0 };
};

QueuePolicy
Queue(const std::string& aName, std::uint32_t aPriority, std::int64_t aDecisionUs)
{
  return QueuePolicy::Create(
           { .mHost = "h",
             .mPathPrefix = absl::StrCat("/", aName, "/"),
             .mPool = kPool,
             .mPriority = aPriority,
             .mMaxAttempts = 3,
             .mSlowdownLimit = 2,
             .mSlack = Time::FromMilliseconds(1000),
             .mAdvice = AdvicePolicy::Create({ .mDecisionUs = aDecisionUs,
                                               .mWorkerUs = aDecisionUs / 70,
                                               .mValidity = Time::FromMilliseconds(2000) })
                          .value() })
    .value();
}

/// The kinds of jobs of a large cell: quotes, checks and gangs.
struct KindOfJob
{
  const char* mQueue;
  std::uint32_t mPriority;
  std::int64_t mDecisionUs;
  int mShare;
  std::uint32_t mTasks;
  std::int64_t mCpu;
  int mRunMs;
  bool mGang;
  int mAllowedPercent;
};

constexpr KindOfJob kKinds[] = {
  { "quote", 0, 14'300, 83, 3, 2500, 850, false, 70 },
  { "check", 2, 104'000, 12, 37, 1700, 1900, false, 45 },
  { "convoy", 1, 455'000, 5, 24, 4500, 3400, true, 30 },
};

struct Simulation
{
  explicit Simulation(int aWorkers);

  void Submit(int aNumber);
  void Perform(const Effects& aEffects);
  void Tick();
  /// Runs a step of the owner and counts its cost.
  template<class Handler>
  void Count(Handler aHandler)
  {
    Effects out;
    const auto from = Clock::now();
    aHandler(out);
    AdvanceCell(mCell, Now(), out);
    mSpent += Clock::now() - from;
    ++mEvents;
    Perform(out);
  }
  Time Now() const { return kStart + Time::FromMilliseconds(mMs); }
  void AnswerPoll(const std::string& aId, SimulatedWorker& aWorker);

  CellState mCell;
  std::map<std::string, SimulatedWorker> mWorkers;
  std::multimap<std::int64_t, EntryEvent> mDue;
  std::minstd_rand mRandom{ 7 };
  std::int64_t mMs{ 0 };
  Clock::duration mSpent{};
  std::int64_t mStarts{ 0 };
  std::int64_t mEvents{ 0 };
  std::int64_t mRecords{ 0 };
  std::size_t mRecordBytes{ 0 };
};

Simulation::Simulation(int aWorkers)
{
  mCell.mNode = "n0";
  mCell.mEpoch = 1;
  mCell.mNextSequence = 1;
  mCell.mConfirmedAt = Now();
  mCell.mOwnerSince = Now();
  ClusterConfig::Fields config{ .mVersion = 1 };
  for (const auto& kind : kKinds) {
    config.mQueues.push_back(Queue(kind.mQueue, kind.mPriority, kind.mDecisionUs));
  }
  mCell.mConfig = ClusterConfig::Create(std::move(config)).value();
  constexpr int kNodes = 36;
  for (int i = 0; i < kNodes; ++i) {
    mCell.mAdviceProxies.push_back({ .mNode = absl::StrCat("n", i), .mOpenQueries = {} });
  }
  WorkersChanged::Fields workers;
  workers.mComplete = true;
  for (int i = 0; i < aWorkers; ++i) {
    const auto id = absl::StrCat("00c0ffee", 1000 + i);
    mWorkers[id];
    workers.mPresent.push_back(
      WorkerRegistration::Create(
        { .mId = id,
          .mPool = kPool,
          .mEndpoint = Endpoint::Create({ .mAddress = "10.0.0.1", .mPort = 9000 + i }).value(),
          .mCapacity = Resources::Create({ .mCpuMillis = 16'000, .mMemoryMb = 32'768 }).value(),
          .mRack = RackId(absl::StrCat("r", i / kWorkersARack)) })
        .value());
  }
  Count([&](Effects& aOut) {
    HandleWorkersChanged(mCell, WorkersChanged::Create(std::move(workers)).value(), Now(), aOut);
  });
}

void
Simulation::Submit(int aNumber)
{
  auto draw = static_cast<int>(mRandom() % 100);
  const auto* kind = kKinds;
  while (draw >= kind->mShare) {
    draw -= kind->mShare;
    ++kind;
  }
  auto step =
    JobStep::Create(
      { .mCount = kind->mTasks,
        .mDemand = Resources::Create({ .mCpuMillis = kind->mCpu, .mMemoryMb = 512 }).value(),
        .mEstimate = Time::FromMilliseconds(kind->mRunMs),
        .mGang = kind->mGang })
      .value();
  auto request =
    CellRequest::Create({ .mCall = static_cast<std::uint64_t>(aNumber),
                          .mKind = JobCallKind::Submit,
                          .mQueue = mCell.mConfig.Queues()[static_cast<std::size_t>(kind - kKinds)],
                          .mJob = absl::StrCat("0123456789", 100000 + aNumber),
                          .mDefinition = JobDefinition::Create({ .mPayload = std::string(500, 'x'),
                                                                 .mSteps = { std::move(step) } })
                                           .value() })
      .value();
  Count([&](Effects& aOut) {
    HandleRequest(mCell, { "n1", static_cast<std::uint64_t>(aNumber) }, request, Now(), aOut);
  });
}

void
Simulation::AnswerPoll(const std::string& aId, SimulatedWorker& aWorker)
{
  aWorker.mHasPoll = false;
  WorkerReport::Fields report{ .mWorkerClock = Now() };
  for (const auto& run : aWorker.mRuns) {
    report.mRunning.push_back(
      RunningRun::Create({ .mTask = run.mTask, .mRun = run.mRun, .mPercent = 50 }).value());
  }
  report.mEnded = aWorker.mEnded;
  auto polled = WorkerPolled::Create(
                  { .mWorker = aId, .mReport = WorkerReport::Create(std::move(report)).value() })
                  .value();
  Count([&](Effects& aOut) { HandlePolled(mCell, polled, Now(), aOut); });
}

void
Simulation::Perform(const Effects& aEffects)
{
  for (const auto& effect : aEffects) {
    const auto& body = effect.Body();
    if (const auto* append = std::get_if<AppendToCell>(&body)) {
      for (const auto& record : append->Records()) {
        ++mRecords;
        mRecordBytes +=
          record.Key().size() + (record.Record() ? EncodeRecord(*record.Record()).size() : 0);
      }
      auto done = CellAppended::Create({ .mEpoch = 1, .mSequence = append->Sequence() }).value();
      mDue.emplace(mMs + kAppendMs, EntryEvent::Create({ .mBody = std::move(done) }).value());
    } else if (const auto* start = std::get_if<StartRun>(&body)) {
      ++mStarts;
      const auto& job = mCell.mJobs.at(start->Task().Job());
      const auto estimate = job.mJob.Definition().Steps()[start->Task().Step()].Estimate();
      const auto jitter = static_cast<std::int64_t>(mRandom() % 200);
      mWorkers.at(start->Worker())
        .mRuns.push_back(
          { start->Task(), start->Run(), mMs + estimate.Milliseconds() + jitter - 100 });
      auto started = StartAnswered::Create(
                       { .mWorker = start->Worker(), .mTask = start->Task(), .mRun = start->Run() })
                       .value();
      mDue.emplace(mMs + kOrderMs, EntryEvent::Create({ .mBody = std::move(started) }).value());
    } else if (const auto* poll = std::get_if<PollWorker>(&body)) {
      auto& worker = mWorkers.at(poll->Worker());
      std::erase_if(worker.mEnded,
                    [&](const EndedRun& aEnd) { return aEnd.Number() <= poll->Acknowledged(); });
      worker.mHasPoll = true;
      worker.mPollUntil = mMs + std::min<std::int64_t>(kMaxPollMs, poll->Wait().Milliseconds());
    } else if (const auto* sent = std::get_if<SendToMember>(&body)) {
      if (const auto* query = std::get_if<RequestAdvice>(&sent->Message().Body())) {
        const auto& kind = kKinds[mRandom() % 3];
        AdviceAnswered::Fields answer{ .mJob = query->Job(),
                                       .mOccurrence = query->Occurrence(),
                                       .mStep = query->Step(),
                                       .mAnswered = true,
                                       .mWorkers = query->Workers() };
        for (const auto& id : query->Workers()) {
          if (static_cast<int>(mRandom() % 100) < kind.mAllowedPercent) {
            answer.mTickets.push_back(Ticket::Create({ .mWorker = id, .mText = "ticket" }).value());
          }
        }
        const auto takes = query->Timeout().Milliseconds() - 600;
        mDue.emplace(
          mMs + std::max<std::int64_t>(1, takes),
          EntryEvent::Create({ .mBody = AdviceAnswered::Create(std::move(answer)).value() })
            .value());
      }
    }
  }
}

void
Simulation::Tick()
{
  ++mMs;
  while (!mDue.empty() && mDue.begin()->first <= mMs) {
    const auto event = mDue.begin()->second;
    mDue.erase(mDue.begin());
    if (const auto* stored = std::get_if<CellAppended>(&event.Body())) {
      Count([&](Effects& aOut) { HandleAppended(mCell, *stored, Now(), aOut); });
    } else if (const auto* started = std::get_if<StartAnswered>(&event.Body())) {
      Count([&](Effects& aOut) { HandleStartAnswered(mCell, *started, Now(), aOut); });
    } else if (const auto* advice = std::get_if<AdviceAnswered>(&event.Body())) {
      Count([&](Effects& aOut) { HandleAdvice(mCell, *advice, Now(), aOut); });
    }
  }
  for (auto& [id, worker] : mWorkers) {
    for (auto it = worker.mRuns.begin(); it != worker.mRuns.end();) {
      if (it->mEndsAt > mMs) {
        ++it;
        continue;
      }
      worker.mEnded.push_back(
        EndedRun::Create({ .mNumber = ++worker.mLastEnd, .mTask = it->mTask, .mRun = it->mRun })
          .value());
      it = worker.mRuns.erase(it);
    }
    if (worker.mHasPoll && (!worker.mEnded.empty() || mMs >= worker.mPollUntil)) {
      AnswerPoll(id, worker);
    }
  }
  constexpr int kTickMs = 10;
  if (mMs % kTickMs == 0) {
    Count([&](Effects& aOut) { CheckCell(mCell, Now(), aOut); });
  }
}

} // namespace

OwnerLoad
MeasureOwnerLoad(int aWorkers, int aJobsASecond, int aSeconds, int aBacklog)
{
  Simulation simulation(aWorkers);
  constexpr int kWarmUpMs = 500;
  for (int i = 0; i < kWarmUpMs; ++i) {
    simulation.Tick();
  }
  simulation.mSpent = {};
  simulation.mStarts = 0;
  simulation.mEvents = 0;
  simulation.mRecords = 0;
  simulation.mRecordBytes = 0;
  int submitted = 0;
  while (submitted < aBacklog) {
    simulation.Submit(submitted++);
  }
  for (int i = 0; i < aSeconds * kMillisInSecond; ++i) {
    while ((submitted - aBacklog) * kMillisInSecond < i * aJobsASecond) {
      simulation.Submit(submitted++);
    }
    simulation.Tick();
  }
  const double seconds = aSeconds;
  return { .mMillisecondsASecond =
             std::chrono::duration<double, std::milli>(simulation.mSpent).count() / seconds,
           .mStartsASecond = static_cast<double>(simulation.mStarts) / seconds,
           .mEventsASecond = static_cast<double>(simulation.mEvents) / seconds,
           .mRecordsASecond = static_cast<double>(simulation.mRecords) / seconds,
           .mRecordBytesASecond = static_cast<double>(simulation.mRecordBytes) / seconds,
           .mOpenJobs = static_cast<std::int64_t>(simulation.mCell.mJobs.size()) };
}

} // namespace by
