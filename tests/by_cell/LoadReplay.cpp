#include "by_cell/LoadReplay.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

namespace by {

namespace {

constexpr Time kTick = Time::FromMilliseconds(10);
constexpr std::int64_t kWorkerCpu = 16000;
constexpr std::int64_t kWorkerMemory = 32768;
constexpr const char* kPool = "pool";
constexpr std::uint32_t kPercent = 100;

/// The jobs of one priority.
struct Kind
{
  bool mGang;
  std::int64_t mCpu;
  std::int64_t mMemory;
  double mStretch;
  std::int64_t mSlackMs;
  std::int64_t mDecisionUs;
  std::int64_t mWorkerUs;
  /// Of a hundred workers, the number that the advice service allows.
  std::uint32_t mAllowed;
};

const Kind&
KindOf(std::uint32_t aPriority)
{
  static const std::vector<Kind> kinds{ { false, 3900, 5600, 1.5, 250, 26000, 364, 70 },
                                        { true, 4500, 8600, 2.2, 1000, 637000, 9100, 30 },
                                        { false, 2800, 2800, 4.0, 3000, 182000, 2600, 45 },
                                        // Needs no advice.
                                        { false, 4200, 2800, 4.0, 3000, 0, 0, 0 } };
  return kinds.at(aPriority);
}

/// @returns a number that depends on the text alone.
std::uint32_t
Mix(const std::string& aText)
{
  constexpr std::uint32_t kBasis = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  auto hash = kBasis;
  for (const char c : aText) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash ^ (hash >> 15U);
}

WorkerRegistration
Registration(int aNumber)
{
  const auto n = std::to_string(aNumber);
  return WorkerRegistration::Create(
           { .mId = "w" + n,
             .mPool = kPool,
             .mEndpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 }).value(),
             .mZone = {},
             .mDraining = false,
             .mCapacity =
               Resources::Create({ .mCpuMillis = kWorkerCpu, .mMemoryMb = kWorkerMemory }).value(),
             .mLabels = {},
             .mRack = RackId("r" + n),
             .mProcessStart = Time::FromMilliseconds(1000 + aNumber),
             .mDrainTimeLeft = {} })
    .value();
}

QueuePolicy
QueueOf(std::uint32_t aPriority)
{
  const auto& kind = KindOf(aPriority);
  std::optional<AdvicePolicy> advice;
  if (kind.mDecisionUs > 0) {
    advice = AdvicePolicy::Create({ .mDecisionUs = kind.mDecisionUs,
                                    .mWorkerUs = kind.mWorkerUs,
                                    .mValidity = Time::FromSeconds(2) })
               .value();
  }
  return QueuePolicy::Create({ .mHost = "h",
                               .mPathPrefix = "/" + std::to_string(aPriority) + "/",
                               .mPool = kPool,
                               .mPriority = aPriority,
                               .mMaxAttempts = 2,
                               .mSlowdownLimit = kind.mStretch,
                               .mSlack = Time::FromMilliseconds(kind.mSlackMs),
                               .mAdvice = std::move(advice) })
    .value();
}

} // namespace

LoadReplay::LoadReplay(int aWorkers, int aNodes)
{
  mCell.mNode = "owner";
  mCell.mEpoch = 1;
  mCell.mNextSequence = 1;
  mCell.mConfirmedAt = mNow;
  mCell.mOwnerSince = mNow;
  mCell.mConfig =
    ClusterConfig::Create(
      { .mVersion = 1, .mQueues = { QueueOf(0), QueueOf(1), QueueOf(2), QueueOf(3) } })
      .value();
  for (int n = 1; n <= aNodes; ++n) {
    mCell.mAdviceProxies.push_back({ .mNode = "n" + std::to_string(n), .mOpenQueries = {} });
  }
  WorkersChanged::Fields workers;
  workers.mComplete = true;
  for (int n = 1; n <= aWorkers; ++n) {
    workers.mPresent.push_back(Registration(n));
    mWorkers.emplace("w" + std::to_string(n), Worker());
  }
  HandleWorkersChanged(mCell, WorkersChanged::Create(std::move(workers)).value(), mNow, mOut);
}

std::vector<LoadReplay::Arrival>
LoadReplay::ReadArrivals(const std::string& aFile)
{
  std::vector<Arrival> arrivals;
  std::ifstream in(aFile);
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    std::int64_t at = 0;
    std::int64_t objective = 0;
    Arrival arrival{};
    if (fields >> at >> arrival.mPriority >> arrival.mTasks >> objective) {
      arrival.mAt = Time::FromMilliseconds(at);
      arrival.mObjective = Time::FromMilliseconds(objective);
      arrivals.push_back(arrival);
    }
  }
  return arrivals;
}

void
LoadReplay::SetTeams(const std::vector<TeamId>& aTeams, std::int64_t aWeight)
{
  auto fields = mCell.mConfig.ToFields();
  for (const auto& team : aTeams) {
    fields.mTeams.push_back(TeamPolicy::Create({ .mName = team, .mWeight = aWeight }).value());
  }
  ConfigureCell(mCell, ClusterConfig::Create(std::move(fields)).value());
}

void
LoadReplay::Play(const std::vector<Arrival>& aArrivals)
{
  const auto start = mNow;
  auto end = start;
  for (const auto& arrival : aArrivals) {
    end = std::max(end, start + arrival.mAt + arrival.mObjective + kTick);
  }
  std::size_t next = 0;
  for (; mNow < end; mNow = mNow + kTick) {
    while (next < aArrivals.size() && start + aArrivals[next].mAt <= mNow) {
      Submit(aArrivals[next], "job" + std::to_string(next));
      ++next;
    }
    EndRuns();
    AnswerPolls();
    AnswerQueries();
    CheckCell(mCell, mNow, mOut);
    Perform();
    CountOutcomes();
  }
}

double
LoadReplay::OnTime(std::uint32_t aPriority) const
{
  const auto& share = mShares.at(aPriority);
  return static_cast<double>(share.mOnTime) / static_cast<double>(share.mJobs);
}

double
LoadReplay::OnTimeOfTeam(const TeamId& aTeam) const
{
  const auto& share = mTeamShares.at(aTeam);
  return static_cast<double>(share.mOnTime) / static_cast<double>(share.mJobs);
}

void
LoadReplay::Submit(const Arrival& aArrival, const std::string& aJob)
{
  const auto& kind = KindOf(aArrival.mPriority);
  const auto work = static_cast<double>(aArrival.mObjective.Milliseconds() - kind.mSlackMs);
  JobStep::Fields step;
  step.mCount = aArrival.mTasks;
  step.mDemand = Resources::Create({ .mCpuMillis = kind.mCpu, .mMemoryMb = kind.mMemory }).value();
  step.mEstimate = Time::FromMilliseconds(
    std::max<std::int64_t>(50, static_cast<std::int64_t>(work / kind.mStretch)));
  step.mGang = kind.mGang;
  auto definition = JobDefinition::Create(
                      { .mPayload = "p", .mSteps = { JobStep::Create(std::move(step)).value() } })
                      .value();
  HandleRequest(mCell,
                { mCell.mNode, 1 },
                CellRequest::Create({ .mCall = 1,
                                      .mKind = JobCallKind::Submit,
                                      .mQueue = QueueOf(aArrival.mPriority),
                                      .mJob = aJob,
                                      .mDefinition = std::move(definition),
                                      .mTeam = aArrival.mTeam })
                  .value(),
                mNow,
                mOut);
  ++mTeamShares[aArrival.mTeam].mJobs;
  if (!mCell.mJobs.contains(aJob)) {
    ++mTeamShares[aArrival.mTeam].mThrottled;
    mThrottledJobs.push_back(aJob);
    return;
  }
  auto arrival = aArrival;
  arrival.mAt = mNow;
  mOpen.emplace(aJob, arrival);
  ++mShares[aArrival.mPriority].mJobs;
}

void
LoadReplay::EndRuns()
{
  for (auto& [id, worker] : mWorkers) {
    std::erase_if(worker.mRuns, [&, &row = worker](const Run& aRun) {
      if (mNow < aRun.mEnd) {
        return false;
      }
      row.mEnded.push_back(EndedRun::Create({ .mNumber = ++row.mLastEnd,
                                              .mTask = aRun.mId.mTask,
                                              .mRun = aRun.mId.mRun,
                                              .mEnd = RunEnd::Done })
                             .value());
      return true;
    });
  }
}

void
LoadReplay::AnswerPolls()
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mIsPolled || (worker.mEnded.empty() && mNow < worker.mPolledUntil)) {
      continue;
    }
    worker.mIsPolled = false;
    std::vector<RunningRun> running;
    for (const auto& run : worker.mRuns) {
      const auto took = (mNow - run.mStart).Milliseconds() * kPercent;
      running.push_back(RunningRun::Create({ .mTask = run.mId.mTask,
                                             .mRun = run.mId.mRun,
                                             .mPercent = static_cast<std::uint32_t>(
                                               took / (run.mEnd - run.mStart).Milliseconds()) })
                          .value());
    }
    HandlePolled(mCell,
                 WorkerPolled::Create({ .mWorker = id,
                                        .mOutcome = OrderOutcome::Accepted,
                                        .mReport = WorkerReport::Create({ .mWorkerClock = mNow,
                                                                          .mProcessStart = {},
                                                                          .mRunning = running,
                                                                          .mEnded = worker.mEnded })
                                                     .value() })
                   .value(),
                 mNow,
                 mOut);
  }
}

void
LoadReplay::AnswerQueries()
{
  const auto due = std::stable_partition(
    mAnswers.begin(), mAnswers.end(), [&](const Answer& aAnswer) { return mNow < aAnswer.mAt; });
  const std::vector<Answer> answers(due, mAnswers.end());
  mAnswers.erase(due, mAnswers.end());
  for (const auto& answer : answers) {
    const auto open = mOpen.find(answer.mQuery.Job());
    if (open == mOpen.end()) {
      continue;
    }
    const auto allowed = KindOf(open->second.mPriority).mAllowed;
    std::vector<Ticket> tickets;
    for (const auto& worker : answer.mQuery.Workers()) {
      if (Mix(answer.mQuery.Job() + worker) % kPercent < allowed) {
        tickets.push_back(Ticket::Create({ .mWorker = worker, .mText = "t" }).value());
      }
    }
    HandleAdvice(mCell,
                 AdviceAnswered::Create({ .mJob = answer.mQuery.Job(),
                                          .mOccurrence = answer.mQuery.Occurrence(),
                                          .mStep = answer.mQuery.Step(),
                                          .mAnswered = true,
                                          .mWorkers = answer.mQuery.Workers(),
                                          .mTickets = std::move(tickets) })
                   .value(),
                 mNow,
                 mOut);
  }
}

void
LoadReplay::Perform()
{
  do {
    AdvanceCell(mCell, mNow, mOut);
    for (const auto& effect : std::exchange(mOut, {})) {
      Perform(effect);
    }
  } while (!mOut.empty());
}

void
LoadReplay::Perform(const EntryEffect& aEffect)
{
  const auto& body = aEffect.Body();
  if (const auto* append = std::get_if<AppendToCell>(&body)) {
    mRecords.insert(mRecords.end(), append->Records().begin(), append->Records().end());
    HandleAppended(mCell,
                   CellAppended::Create({ .mEpoch = append->Epoch(),
                                          .mSequence = append->Sequence(),
                                          .mOutcome = StoreOutcome::Done })
                     .value(),
                   mNow,
                   mOut);
  } else if (const auto* start = std::get_if<StartRun>(&body)) {
    Start(*start);
  } else if (const auto* poll = std::get_if<PollWorker>(&body)) {
    auto& worker = mWorkers.at(poll->Worker());
    std::erase_if(worker.mEnded,
                  [&](const EndedRun& aEnd) { return aEnd.Number() <= poll->Acknowledged(); });
    worker.mIsPolled = true;
    worker.mPolledUntil = mNow + poll->Wait();
  } else if (const auto* query = std::get_if<RequestAdvice>(&body)) {
    Query(mCell.mNode, *query);
  } else if (const auto* sent = std::get_if<SendToMember>(&body)) {
    if (const auto* forwarded = std::get_if<RequestAdvice>(&sent->Message().Body())) {
      Query(sent->Node(), *forwarded);
    }
  }
}

void
LoadReplay::Query(const std::string& aNode, const RequestAdvice& aQuery)
{
  const auto open = mOpen.find(aQuery.Job());
  if (open == mOpen.end()) {
    return;
  }
  const auto& kind = KindOf(open->second.mPriority);
  constexpr std::int64_t kMicrosInMilli = 1000;
  const auto time = Time::FromMilliseconds(
    (kind.mDecisionUs + kind.mWorkerUs * static_cast<std::int64_t>(aQuery.Workers().size())) /
    kMicrosInMilli);
  auto& busy = mNodeBusyUntil[aNode];
  busy = std::max(busy, mNow) + time;
  mAdviceTime = mAdviceTime + time;
  mAnswers.push_back({ busy, aQuery });
}

void
LoadReplay::Start(const StartRun& aStart)
{
  const RunId id{ aStart.Task(), aStart.Run() };
  mStartedJobs.insert(aStart.Task().Job());
  const auto& job = mCell.mJobs.at(aStart.Task().Job());
  const auto estimate =
    job.mJob.Definition().Steps()[aStart.Task().Step()].Estimate().Milliseconds();
  // Tasks take from 0.8 to 1.2 times the declared time; all members of a gang end together.
  const auto gang = job.mJob.Definition().Steps()[aStart.Task().Step()].Gang();
  const auto name = aStart.Task().Job() + (gang ? "" : std::to_string(aStart.Task().Index()));
  constexpr std::int64_t kLeastPercent = 80;
  constexpr std::uint32_t kSpreadPercent = 41;
  const auto percent = kLeastPercent + static_cast<std::int64_t>(Mix(name) % kSpreadPercent);
  const auto end =
    mNow + Time::FromMilliseconds(std::max<std::int64_t>(10, estimate * percent / 100));
  mWorkers.at(aStart.Worker()).mRuns.push_back({ id, mNow, end });
  HandleStartAnswered(mCell,
                      StartAnswered::Create({ .mWorker = aStart.Worker(),
                                              .mTask = id.mTask,
                                              .mRun = id.mRun,
                                              .mOutcome = OrderOutcome::Accepted })
                        .value(),
                      mNow,
                      mOut);
}

void
LoadReplay::CountOutcomes()
{
  std::erase_if(mOpen, [&](const auto& aEntry) {
    const auto ended = mCell.mOutcomes.find(aEntry.first);
    if (ended == mCell.mOutcomes.end()) {
      return false;
    }
    const auto& arrival = aEntry.second;
    const bool isOnTime = ended->second.mState == JobState::Completed &&
                          ended->second.mEnded <= arrival.mAt + arrival.mObjective;
    mShares[arrival.mPriority].mOnTime += isOnTime ? 1 : 0;
    mTeamShares[arrival.mTeam].mOnTime += isOnTime ? 1 : 0;
    return true;
  });
}

} // namespace by
