#include "by_cell/CellFixture.h"

#include <map>

#include "by_cell/TakeAll.h"
#include "by_cell/detail/Emit.h"

namespace by {

namespace {

constexpr std::int64_t kWorkerCpu = 4000;
constexpr std::int64_t kWorkerMemory = 4096;
constexpr const char* kPool = "pool";
constexpr const char* kNode = "owner";

WorkerRegistration
Registration(int aNumber)
{
  const auto n = std::to_string(aNumber);
  return WorkerRegistration::Create(
           { .mId = "w" + n,
             .mPool = kPool,
             .mEndpoint =
               Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 + aNumber }).value(),
             .mZone = {},
             .mDraining = false,
             .mCapacity =
               Resources::Create({ .mCpuMillis = kWorkerCpu, .mMemoryMb = kWorkerMemory }).value(),
             .mLabels = { "a", "r" + n },
             .mRack = RackId("r" + n),
             .mProcessStart = Time::FromMilliseconds(1000 + aNumber),
             .mDrainTimeLeft = {} })
    .value();
}

} // namespace

CellFixture::CellFixture(int aWorkers)
{
  mQueue = QueuePolicy::Create({ .mHost = "h",
                                 .mPathPrefix = "/q/",
                                 .mPool = kPool,
                                 .mPriority = 0,
                                 .mMaxAttempts = 2,
                                 .mSlowdownLimit = 2,
                                 .mSlack = Time::FromMilliseconds(100),
                                 .mAdvice = std::nullopt })
             .value();
  mCell.mNode = kNode;
  mCell.mEpoch = 7;
  mCell.mNextSequence = 1;
  mCell.mConfirmedAt = mNow;
  mCell.mOwnerSince = mNow;
  mCell.mConfig =
    ClusterConfig::Create({ .mVersion = 1, .mQueues = { mQueue }, .mPools = {} }).value();
  mCell.mAdviceProxies.push_back({ .mNode = kNode, .mOpenQueries = {} });
  WorkersChanged::Fields workers;
  workers.mComplete = true;
  for (int n = 1; n <= aWorkers; ++n) {
    workers.mPresent.push_back(Registration(n));
  }
  HandleWorkersChanged(mCell, WorkersChanged::Create(std::move(workers)).value(), mNow, mOut);
  Advance();
  for (int n = 1; n <= aWorkers; ++n) {
    Poll("w" + std::to_string(n), {}, {});
  }
  mOut.clear();
}

JobStep::Fields
CellFixture::Step(std::uint32_t aCount)
{
  JobStep::Fields fields;
  fields.mCount = aCount;
  fields.mDemand = Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 128 }).value();
  fields.mEstimate = Time::FromMilliseconds(100);
  return fields;
}

CellRequest
CellFixture::Submission(const std::string& aJob, std::vector<JobStep::Fields> aSteps) const
{
  JobDefinition::Fields definition;
  definition.mPayload = "payload";
  for (auto& step : aSteps) {
    definition.mSteps.push_back(JobStep::Create(std::move(step)).value());
  }
  return CellRequest::Create(
           { .mCall = 1,
             .mKind = JobCallKind::Submit,
             .mQueue = mQueue,
             .mJob = aJob,
             .mDefinition = JobDefinition::Create(std::move(definition)).value() })
    .value();
}

void
CellFixture::SubmitUnstored(const std::string& aJob, std::vector<JobStep::Fields> aSteps)
{
  HandleRequest(mCell, { kNode, 1 }, Submission(aJob, std::move(aSteps)), mNow, mOut);
}

void
CellFixture::Submit(const std::string& aJob, std::vector<JobStep::Fields> aSteps)
{
  SubmitUnstored(aJob, std::move(aSteps));
  StoreAll();
}

Effects
CellFixture::Call(JobCallKind aKind, const std::string& aJob)
{
  Effects out;
  HandleRequest(
    mCell,
    { mCell.mNode, 2 },
    CellRequest::Create({ .mCall = 2, .mKind = aKind, .mQueue = mQueue, .mJob = aJob }).value(),
    mNow,
    out);
  mOut.insert(mOut.end(), out.begin(), out.end());
  return out;
}

void
CellFixture::Advance()
{
  AdvanceCell(mCell, mNow, mOut);
}

void
CellFixture::AdvanceTime(Time aTime)
{
  const auto until = mNow + aTime;
  while (mNow < until) {
    mNow = std::min(until, mNow + Time::FromMilliseconds(50));
    CheckCell(mCell, mNow, mOut);
    Advance();
  }
}

void
CellFixture::AdvanceTimeStoring(Time aTime)
{
  const auto until = mNow + aTime;
  while (mNow < until) {
    AdvanceTime(Time::FromMilliseconds(50));
    StoreAll();
  }
}

void
CellFixture::Store(StoreOutcome aOutcome)
{
  const auto appends = TakeAll<AppendToCell>(mOut);
  if (appends.empty()) {
    return;
  }
  const auto& append = appends.back();
  if (aOutcome == StoreOutcome::Done) {
    mRecords.insert(mRecords.end(), append.Records().begin(), append.Records().end());
  }
  HandleAppended(
    mCell,
    CellAppended::Create(
      { .mEpoch = append.Epoch(), .mSequence = append.Sequence(), .mOutcome = aOutcome })
      .value(),
    mNow,
    mOut);
  Advance();
}

void
CellFixture::StoreAll()
{
  mNow = mNow + Time::FromMilliseconds(20);
  Advance();
  for (int i = 0; i < 20 && HasUnstored(mCell); ++i) {
    Store();
    mNow = mNow + Time::FromMilliseconds(20);
    Advance();
  }
}

void
CellFixture::Poll(const std::string& aWorker,
                  std::vector<RunningRun> aRunning,
                  std::vector<EndedRun> aEnded,
                  Time aProcessStart)
{
  mNow = mNow + Time::FromMilliseconds(1);
  mCell.mWorkers.at(aWorker).mPollSentAt = mNow;
  mNow = mNow + Time::FromMilliseconds(1);
  HandlePolled(
    mCell,
    WorkerPolled::Create({ .mWorker = aWorker,
                           .mOutcome = OrderOutcome::Accepted,
                           .mReport = WorkerReport::Create({ .mWorkerClock = mNow,
                                                             .mProcessStart = aProcessStart,
                                                             .mRunning = std::move(aRunning),
                                                             .mEnded = std::move(aEnded) })
                                        .value() })
      .value(),
    mNow,
    mOut);
  Advance();
}

void
CellFixture::PlayIdleWorkers(Time aTime)
{
  const auto until = mNow + aTime;
  while (mNow < until) {
    AdvanceTimeStoring(Time::FromMilliseconds(50));
    for (const auto& poll : TakePolls()) {
      const auto& worker = mCell.mWorkers.at(poll.Worker());
      if (worker.mRuns.empty()) {
        Poll(poll.Worker(), {}, {}, worker.mProcessStart);
      }
    }
  }
}

void
CellFixture::LoseWorker(const std::string& aWorker)
{
  for (int i = 0; i < 3; ++i) {
    HandlePolled(
      mCell,
      WorkerPolled::Create({ .mWorker = aWorker, .mOutcome = OrderOutcome::Unanswered }).value(),
      mNow,
      mOut);
    mCell.mWorkers.at(aWorker).mPollInFlight = true;
  }
}

void
CellFixture::Started(const std::string& aWorker, const RunId& aRun, OrderOutcome aOutcome)
{
  HandleStartAnswered(
    mCell,
    StartAnswered::Create(
      { .mWorker = aWorker, .mTask = aRun.mTask, .mRun = aRun.mRun, .mOutcome = aOutcome })
      .value(),
    mNow,
    mOut);
}

void
CellFixture::Stopped(const std::string& aWorker, const RunId& aRun, OrderOutcome aOutcome)
{
  HandleStopAnswered(
    mCell,
    StopAnswered::Create(
      { .mWorker = aWorker, .mTask = aRun.mTask, .mRun = aRun.mRun, .mOutcome = aOutcome })
      .value(),
    mNow,
    mOut);
}

std::vector<KeyedRecord>
CellFixture::Stored() const
{
  std::map<std::string, KeyedRecord> newest;
  for (const auto& record : mRecords) {
    if (record.Record()) {
      newest[record.Key()] = record;
    } else {
      newest.erase(record.Key());
    }
  }
  std::vector<KeyedRecord> all;
  for (auto& [key, record] : newest) {
    all.push_back(std::move(record));
  }
  return all;
}

CellFixture
CellFixture::Successor() const
{
  auto next = SuccessorWithoutRegistry();
  std::vector<WorkerRegistration> workers;
  for (const auto& [id, worker] : mCell.mWorkers) {
    workers.push_back(worker.mRegistration);
  }
  next.ReadRegistry(workers);
  return next;
}

CellFixture
CellFixture::SuccessorWithoutRegistry() const
{
  CellFixture next(0);
  next.mNow = mNow;
  next.mRecords = mRecords;
  CellState empty;
  empty.mSettings = mCell.mSettings;
  empty.mNode = "successor";
  empty.mEpoch = mCell.mEpoch + 1;
  empty.mConfig = mCell.mConfig;
  empty.mConfirmedAt = mNow;
  empty.mOwnerSince = mNow;
  empty.mNextSequence = 1;
  empty.mAdviceProxies.push_back({ .mNode = "successor", .mOpenQueries = {} });
  next.mCell = RestoreCell(std::move(empty), Stored(), mNow, next.mOut);
  return next;
}

void
CellFixture::ReadRegistry(const std::vector<WorkerRegistration>& aWorkers)
{
  HandleWorkersChanged(
    mCell, WorkersChanged::Create({ .mComplete = true, .mPresent = aWorkers }).value(), mNow, mOut);
  Advance();
}

std::vector<StartRun>
CellFixture::TakeStarts()
{
  return TakeAll<StartRun>(mOut);
}

std::vector<StopRun>
CellFixture::TakeStops()
{
  return TakeAll<StopRun>(mOut);
}

std::vector<PollWorker>
CellFixture::TakePolls()
{
  return TakeAll<PollWorker>(mOut);
}

std::vector<JobReply>
CellFixture::TakeReplies()
{
  std::vector<JobReply> replies;
  for (const auto& reply : TakeAll<ReplyToCaller>(mOut)) {
    replies.push_back(reply.Reply());
  }
  return replies;
}

std::vector<RequestAdvice>
CellFixture::TakeAdviceRequests()
{
  return TakeAll<RequestAdvice>(mOut);
}

std::vector<StartMaintenance>
CellFixture::TakeMaintenanceOrders()
{
  return TakeAll<StartMaintenance>(mOut);
}

std::vector<PublishWave>
CellFixture::TakePublishedWaves()
{
  return TakeAll<PublishWave>(mOut);
}

RunId
CellFixture::Run(const std::string& aJob,
                 std::uint32_t aIndex,
                 std::uint32_t aRun,
                 std::uint32_t aStep)
{
  return { JobTaskKey::Create({ .mJob = aJob, .mOccurrence = 0, .mStep = aStep, .mIndex = aIndex })
             .value(),
           aRun };
}

RunningRun
CellFixture::Running(const RunId& aRun, std::uint32_t aPercent)
{
  return RunningRun::Create(
           { .mTask = aRun.mTask, .mRun = aRun.mRun, .mCheckpoint = "", .mPercent = aPercent })
    .value();
}

EndedRun
CellFixture::Ended(std::uint64_t aNumber, const RunId& aRun, RunEnd aEnd)
{
  return EndedRun::Create(
           { .mNumber = aNumber, .mTask = aRun.mTask, .mRun = aRun.mRun, .mEnd = aEnd })
    .value();
}

} // namespace by
