#include "CellSimulation.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

/// Interval between the reads of the claim that confirm the newest owner. [ms]
constexpr std::int64_t kConfirmInterval = 300;
constexpr int kWorkers = 4;
constexpr const char* kNode = "owner";

constexpr std::array<const char*, 3> kTeams{ "red", "blue", "green" };

TeamId
TeamOfJob(std::size_t aJob)
{
  return TeamId(kTeams[aJob % kTeams.size()]);
}

/// @returns whether an order is for another process of a worker than the one that it reaches. Such
/// an order is not sent, since it goes only over a connection to the process that it is for.
template<class Worker>
bool
IsForOther(const Worker& aWorker, Time aProcessStart)
{
  return aProcessStart != Time() && aProcessStart != aWorker.mProcessStart;
}

} // namespace

CellSimulation::CellSimulation(std::uint32_t aSeed, CellFaults aFaults)
  : mRandom(aSeed)
  , mFaults(aFaults)
  , mCrashesAtRandom(aFaults.mCrashEvery > 0 || aFaults.mRestartEvery > 0)
  , mHasTakeovers(aFaults.mTakeoverEvery > 0)
{
  for (int i = 1; i <= kWorkers; ++i) {
    Worker worker;
    worker.mId = absl::StrCat("w", i);
    worker.mProcessStart = mNow + Time::FromMilliseconds(i);
    worker.mRate = 1.0 - 0.01 * Draw(3);
    worker.mWorkerClock = Draw(100000);
    mWorkers.emplace(worker.mId, worker);
  }
  TakeOver();
  if (mFaults.mQuotaChangeEvery > 0) {
    ChangeQuotas(false);
  }
}

void
CellSimulation::After(int aMilliseconds, std::function<void()> aAction)
{
  mScheduledActions.push_back({ mNow + Time::FromMilliseconds(aMilliseconds), std::move(aAction) });
}

void
CellSimulation::ReportViolation(const std::string& aRule, const std::string& aSeen)
{
  mViolations.push_back(absl::StrCat(aRule, " at ", mNow.Milliseconds() - 1000000, ": ", aSeen));
}

void
CellSimulation::Simulate(int aMilliseconds)
{
  for (int t = 0; t < aMilliseconds && mViolations.empty(); t += kStep) {
    Step(false);
  }
  // Chains of long tasks take longer.
  const int faultFreeTime = mFaults.mRestartEvery > 0 ? 120000 : 60000;
  for (int t = 0; t < faultFreeTime && mViolations.empty(); t += kStep) {
    Step(true);
    if (t % 1000 == 0 && mOwner->mCell.mJobs.empty()) {
      break;
    }
  }
  for (const auto& [id, outcome] : mOwner->mCell.mOutcomes) {
    if (outcome.mState == JobState::Failed && mFailed.insert(id).second) {
      CheckFailedJob(id);
    }
  }
  for (const auto& id : mAccepted) {
    const bool ended = mOwner->mCell.mOutcomes.contains(id);
    if (!ended && mViolations.empty()) {
      ReportViolation("LOST", absl::StrCat(id, " has not ended"));
    }
  }
}

void
CellSimulation::Step(bool aWithoutFaults)
{
  mNow = mNow + Time::FromMilliseconds(kStep);
  if (aWithoutFaults) {
    if (mFaults.mQuotaChangeEvery > 0) {
      ChangeQuotas(true);
    }
    mFaults = { .mJointFailures = mFaults.mJointFailures };
    for (auto& [id, worker] : mWorkers) {
      if (worker.mUp && worker.mCpu != kCpu) {
        Resize(worker);
      }
    }
  } else {
    SubmitRandomJobs();
  }
  for (auto& [id, worker] : mWorkers) {
    if (worker.mUp && Every(mFaults.mCutEvery)) {
      worker.mCutUntil = mNow + Time::FromMilliseconds(500 + Draw(9000));
    }
    if (worker.mUp && Every(mFaults.mCrashEvery)) {
      Crash(worker);
    }
    if (worker.mUp && Every(mFaults.mRestartEvery)) {
      Restart(worker);
    }
    if (worker.mUp && Every(mFaults.mResizeEvery)) {
      Resize(worker);
    }
    if (!worker.mUp && worker.mDownUntil <= mNow) {
      Begin(worker);
    }
    Work(worker);
  }
  WorkGangs();
  if (Every(mFaults.mQuotaChangeEvery)) {
    ChangeQuotas(false);
  }
  if (Every(mFaults.mTakeoverEvery)) {
    TakeOver();
  }
  std::vector<ScheduledAction> due;
  std::erase_if(mScheduledActions, [&](ScheduledAction& aScheduled) {
    if (aScheduled.mAt > mNow) {
      return false;
    }
    due.push_back(std::move(aScheduled));
    return true;
  });
  for (const auto& later : due) {
    later.mAction();
  }
  ConfirmOwner();
  Deliver(mOwner, [this](CellState& aCell, Effects& aOut) { CheckCell(aCell, mNow, aOut); });
}

void
CellSimulation::ConfirmOwner()
{
  if (mNow.Milliseconds() % kConfirmInterval == 0) {
    auto& confirmed = mOwner->mCell.mConfirmedAt;
    confirmed = std::max(confirmed, mNow);
  }
}

void
CellSimulation::SubmitRandomJobs()
{
  if (Draw(1000) < 20) {
    const auto id = absl::StrCat("j", mRequests.size());
    JobDefinition::Fields definition;
    definition.mPayload = "p";
    const int steps = 1 + Draw(3);
    for (int s = 0; s < steps; ++s) {
      JobStep::Fields step;
      step.mCount = static_cast<std::uint32_t>(1 + Draw(4));
      step.mDemand =
        Resources::Create({ .mCpuMillis = 500 + 500 * Draw(4), .mMemoryMb = 1 }).value();
      step.mEstimate = Time::FromMilliseconds(50 + Draw(800));
      if (mFaults.mRestartEvery > 0 && Chance(30)) {
        step.mEstimate = Time::FromMilliseconds(2000 + Draw(8000));
      }
      step.mGang = Chance(30);
      step.mSpreadLimit = Chance(20) ? 2 : 0;
      if (s > 0) {
        step.mAfter = { static_cast<std::uint32_t>(Draw(s)) };
      }
      definition.mSteps.push_back(JobStep::Create(std::move(step)).value());
    }
    auto queue = QueuePolicy::Create({ .mHost = "h",
                                       .mPathPrefix = "/q/",
                                       .mPool = "pool",
                                       .mPriority = static_cast<std::uint32_t>(Draw(3)),
                                       .mMaxAttempts = kAttempts,
                                       .mSlowdownLimit = 2,
                                       .mSlack = Time::FromMilliseconds(300),
                                       .mAdvice = std::nullopt })
                   .value();
    if (Chance(mFaults.mCrashingJobs)) {
      const auto s = static_cast<std::uint32_t>(Draw(steps));
      const auto i =
        static_cast<std::uint32_t>(Draw(static_cast<int>(definition.mSteps[s].Count())));
      mCrashing[JobTaskKey::Create({ .mJob = id, .mStep = s, .mIndex = i }).value()] =
        Time::FromMilliseconds(Chance(30) ? 0 : Draw(150));
    }
    mRequests.emplace(
      id,
      CellRequest::Create({ .mCall = 0,
                            .mKind = JobCallKind::Submit,
                            .mQueue = queue,
                            .mJob = id,
                            .mDefinition = JobDefinition::Create(std::move(definition)).value(),
                            .mTeam = TeamOfJob(mRequests.size()) })
        .value());
  }
  if (mRequests.empty() || !Chance(3)) {
    return;
  }
  auto it = mRequests.begin();
  std::advance(it, Draw(static_cast<int>(mRequests.size())));
  const auto kind = Chance(8) ? JobCallKind::Cancel : JobCallKind::Submit;
  if (mCancelled.contains(it->first) && kind == JobCallKind::Submit) {
    return;
  }
  const auto call = ++mLastCall;
  mCalls[call] = it->first;
  mKinds[call] = kind;
  if (kind == JobCallKind::Submit) {
    mSubmitted.insert(it->first);
    ++mUnthrottled[it->first];
  }
  Deliver(mOwner,
          [this, request = it->second.WithKind(kind), call](CellState& aCell, Effects& aOut) {
            HandleRequest(aCell, { kNode, call }, request, mNow, aOut);
          });
}

void
CellSimulation::Deliver(const std::shared_ptr<Owner>& aOwner,
                        const std::function<void(CellState&, Effects&)>& aEvent)
{
  if (aOwner->mStopped) {
    return;
  }
  Effects out;
  aEvent(aOwner->mCell, out);
  AdvanceCell(aOwner->mCell, mNow, out);
  aOwner->mStopped = aOwner->mCell.mFenced;
  Perform(aOwner, std::move(out));
}

void
CellSimulation::Perform(const std::shared_ptr<Owner>& aOwner, Effects aEffects)
{
  for (const auto& effect : aEffects) {
    const auto& body = effect.Body();
    if (const auto* append = std::get_if<AppendToCell>(&body)) {
      After(4, [this, aOwner, append = *append] { Append(aOwner, append); });
    } else if (const auto* start = std::get_if<StartRun>(&body)) {
      mWorkers.at(start->Worker()).mUnansweredStarts.insert(start->Task());
      Order(
        aOwner,
        start->Worker(),
        start->ProcessStart(),
        [this, start = *start](Worker& aWorker, bool aLate) {
          return Start(aWorker, start, aLate);
        },
        [this, start = *start](CellState& aCell, Effects& aOut, OrderOutcome aOutcome) {
          if (aOutcome != OrderOutcome::Unanswered) {
            mWorkers.at(start.Worker()).mUnansweredStarts.erase(start.Task());
          }
          HandleStartAnswered(aCell,
                              StartAnswered::Create({ .mWorker = start.Worker(),
                                                      .mTask = start.Task(),
                                                      .mRun = start.Run(),
                                                      .mOutcome = aOutcome })
                                .value(),
                              mNow,
                              aOut);
        });
    } else if (const auto* stop = std::get_if<StopRun>(&body)) {
      Order(
        aOwner,
        stop->Worker(),
        Time(),
        [this, stop = *stop](Worker& aWorker, bool) { return Stop(aWorker, stop); },
        [this, stop = *stop](CellState& aCell, Effects& aOut, OrderOutcome aOutcome) {
          HandleStopAnswered(aCell,
                             StopAnswered::Create({ .mWorker = stop.Worker(),
                                                    .mTask = stop.Task(),
                                                    .mRun = stop.Run(),
                                                    .mOutcome = aOutcome })
                               .value(),
                             mNow,
                             aOut);
        });
    } else if (const auto* poll = std::get_if<PollWorker>(&body)) {
      Poll(aOwner, *poll);
    } else if (const auto* reply = std::get_if<ReplyToCaller>(&body)) {
      Reply(reply->Reply());
    }
  }
}

void
CellSimulation::Reply(const JobReply& aReply)
{
  const auto& id = mCalls.at(aReply.Call());
  if (aReply.Outcome() == JobCallOutcome::Accepted) {
    mAccepted.insert(id);
  } else if (aReply.Outcome() == JobCallOutcome::Refused) {
    mRefused.insert(id);
  } else if (aReply.Outcome() == JobCallOutcome::Throttled) {
    --mUnthrottled[id];
  } else if (aReply.Outcome() == JobCallOutcome::Cancelled &&
             mKinds[aReply.Call()] == JobCallKind::Cancel) {
    mCancelled.emplace(id, mNow);
  }
}

void
CellSimulation::Append(const std::shared_ptr<Owner>& aOwner, const AppendToCell& aAppend)
{
  auto outcome = StoreOutcome::Done;
  const bool isRejected = Chance(mFaults.mLostAppends) && Chance(50);
  const bool isDropped = Chance(mFaults.mLostAppends) && Chance(30);
  const bool isLost = Chance(mFaults.mLostAppends);
  if (isRejected) {
    outcome = StoreOutcome::Refused;
  } else if (isDropped) {
    outcome = StoreOutcome::Unanswered;
  } else if (aAppend.Epoch() < mStoreEpoch) {
    outcome = StoreOutcome::Fenced;
  } else if (aAppend.Sequence() == mStoreSequence + 1) {
    mStoreSequence = aAppend.Sequence();
    for (const auto& record : aAppend.Records()) {
      if (record.Record()) {
        mRecords[record.Key()] = record;
      } else {
        mRecords.erase(record.Key());
      }
    }
  } else if (aAppend.Sequence() > mStoreSequence + 1) {
    outcome = StoreOutcome::Conflict;
  }
  if (isLost) {
    outcome = StoreOutcome::Unanswered;
  }
  After(outcome == StoreOutcome::Unanswered ? 200 : 2, [this, aOwner, aAppend, outcome] {
    Deliver(aOwner, [&](CellState& aCell, Effects& aOut) {
      HandleAppended(
        aCell,
        CellAppended::Create(
          { .mEpoch = aAppend.Epoch(), .mSequence = aAppend.Sequence(), .mOutcome = outcome })
          .value(),
        mNow,
        aOut);
    });
  });
}

void
CellSimulation::Order(const std::shared_ptr<Owner>& aOwner,
                      const std::string& aWorker,
                      Time aProcessStart,
                      const OrderAction& aAction,
                      const std::function<void(CellState&, Effects&, OrderOutcome)>& aAnswer)
{
  const auto answer = [this, aOwner, aAnswer](OrderOutcome aOutcome) {
    Deliver(aOwner, [&](CellState& aCell, Effects& aOut) { aAnswer(aCell, aOut, aOutcome); });
  };
  const bool isLost = Chance(mFaults.mLostOrders);
  const int late = isLost && Chance(50) ? 2000 + Draw(6000) : 0;
  // A delayed order is lost when the worker's process ends.
  const auto processStart = mWorkers.at(aWorker).mProcessStart;
  After(
    1 + Draw(4) + late,
    [this, aWorker, aProcessStart, aAction, answer, isLost, late, processStart] {
      auto& worker = mWorkers.at(aWorker);
      const bool isReached =
        worker.mUp && (late > 0 ? worker.mProcessStart == processStart : worker.mCutUntil <= mNow);
      if (!isReached) {
        HoldBack(aWorker, aProcessStart, [aAction](Worker& aReached) { aAction(aReached, true); });
        After(500, [answer] { answer(OrderOutcome::Unanswered); });
        return;
      }
      if (IsForOther(worker, aProcessStart)) {
        answer(OrderOutcome::OtherProcess);
        return;
      }
      const auto outcome =
        isLost && late == 0 && Chance(30) ? OrderOutcome::Unanswered : aAction(worker, late > 0);
      if (!isLost) {
        After(1 + Draw(4), [answer, outcome] { answer(outcome); });
      }
    });
  if (isLost) {
    After(500, [answer] { answer(OrderOutcome::Unanswered); });
  }
}

void
CellSimulation::HoldBack(const std::string& aWorker,
                         Time aProcessStart,
                         const std::function<void(Worker&)>& aAction)
{
  const auto& worker = mWorkers.at(aWorker);
  if (!worker.mUp || worker.mCutUntil <= mNow || mFaults.mHeldCalls == 0 ||
      !Chance(mFaults.mHeldCalls)) {
    return;
  }
  // The bytes are sent again some time after the cut.
  constexpr int kRetransmissionTime = 1500;
  const auto wait = static_cast<int>((worker.mCutUntil - mNow).Milliseconds());
  After(wait + Draw(kRetransmissionTime),
        [this, aWorker, aProcessStart, aAction, processStart = worker.mProcessStart] {
          auto& reached = mWorkers.at(aWorker);
          if (reached.mUp && reached.mProcessStart == processStart &&
              !IsForOther(reached, aProcessStart)) {
            aAction(reached);
          }
        });
}

void
CellSimulation::CarryOut(Worker& aWorker, const PollWorker& aPoll)
{
  aWorker.mToken = aPoll.Epoch();
  if (aPoll.LeaseUntil()) {
    ExtendLease(aWorker, static_cast<double>(aPoll.LeaseUntil()->Milliseconds()));
  }
  std::erase_if(aWorker.mEnded, [&](const EndedRun& aEnd) {
    if (aEnd.Number() > aPoll.Acknowledged()) {
      return false;
    }
    auto& facts = mFacts[aEnd.Task()];
    // A done run counts as acknowledged unless the worker's lease expired between the end of the
    // run and the acknowledgement.
    const bool counts = aWorker.mLeaseExpiredAt < aWorker.mEndTimes[aEnd.Number()];
    const bool isDone = counts && aEnd.End() == RunEnd::Done;
    facts.mDoneAcknowledged = facts.mDoneAcknowledged || isDone;
    if (isDone && facts.mLastStart > aWorker.mEndTimes[aEnd.Number()]) {
      ReportViolation("TWICE",
                      absl::StrCat(aEnd.Task().Job(),
                                   ".",
                                   aEnd.Task().Step(),
                                   ".",
                                   aEnd.Task().Index(),
                                   " began again before its end on ",
                                   aWorker.mId,
                                   " was acknowledged"));
    }
    if (aEnd.End() == RunEnd::Failed) {
      facts.mFailedAcknowledged.insert(aEnd.Run());
    }
    return true;
  });
}

void
CellSimulation::Poll(const std::shared_ptr<Owner>& aOwner, const PollWorker& aPoll)
{
  const auto answer = [this, aOwner, id = aPoll.Worker(), processStart = aPoll.ProcessStart()](
                        OrderOutcome aOutcome, const WorkerReport& aReport) {
    Deliver(aOwner, [&](CellState& aCell, Effects& aOut) {
      HandlePolled(aCell,
                   WorkerPolled::Create({ .mWorker = id,
                                          .mOutcome = aOutcome,
                                          .mReport = aReport,
                                          .mProcessStart = processStart })
                     .value(),
                   mNow,
                   aOut);
    });
  };
  After(1 + Draw(4), [this, aPoll, answer] {
    auto& worker = mWorkers.at(aPoll.Worker());
    if (!worker.mUp || worker.mCutUntil > mNow || Chance(mFaults.mLostOrders)) {
      HoldBack(aPoll.Worker(), aPoll.ProcessStart(), [this, aPoll](Worker& aReached) {
        if (aPoll.Epoch() >= aReached.mToken) {
          CarryOut(aReached, aPoll);
        }
      });
      After(500, [answer] { answer(OrderOutcome::Unanswered, {}); });
      return;
    }
    if (aPoll.Epoch() < worker.mToken) {
      answer(OrderOutcome::Fenced, {});
      return;
    }
    // A process that the poll is not for is only asked to identify itself, by its report.
    if (IsForOther(worker, aPoll.ProcessStart())) {
      worker.mToken = aPoll.Epoch();
    } else {
      CarryOut(worker, aPoll);
    }
    WorkerReport::Fields report;
    report.mWorkerClock = Time::FromMilliseconds(static_cast<std::int64_t>(worker.mWorkerClock));
    report.mProcessStart = worker.mProcessStart;
    for (const auto& run : worker.mRuns) {
      report.mRunning.push_back(
        RunningRun::Create({ .mTask = run.mTask, .mRun = run.mRun, .mPercent = ProgressOf(run) })
          .value());
    }
    report.mEnded = worker.mEnded;
    if (mFaults.mListedEnds > 0 && report.mEnded.size() > mFaults.mListedEnds) {
      report.mEnded.erase(report.mEnded.begin() + static_cast<std::ptrdiff_t>(mFaults.mListedEnds),
                          report.mEnded.end());
    }
    After(1 + Draw(4), [answer, report = WorkerReport::Create(std::move(report)).value()] {
      answer(OrderOutcome::Accepted, report);
    });
  });
}

void
CellSimulation::TakeOver()
{
  ++mEpoch;
  mStoreEpoch = mEpoch;
  mStoreSequence = 0;
  CellState empty;
  empty.mNode = kNode;
  empty.mEpoch = mEpoch;
  empty.mConfig = mConfig;
  empty.mConfirmedAt = mNow;
  empty.mOwnerSince = mNow;
  empty.mNextSequence = 1;
  std::vector<KeyedRecord> records;
  for (const auto& [key, record] : mRecords) {
    records.push_back(record);
  }
  auto owner = std::make_shared<Owner>();
  Effects out;
  owner->mCell = RestoreCell(std::move(empty), records, mNow, out);
  if (mOwner) {
    // The earlier owner may continue until the store or a worker fences it.
    auto earlier = mOwner;
    After(Draw(3000), [earlier] { earlier->mStopped = true; });
  }
  mOwner = owner;
  for (const auto& id : mAccepted) {
    if (!owner->mCell.mJobs.contains(id) && !owner->mCell.mOutcomes.contains(id)) {
      ReportViolation("LOST", id + " is not known to the next owner");
    }
  }
  WorkersChanged::Fields workers;
  workers.mComplete = true;
  for (const auto& [id, worker] : mWorkers) {
    workers.mPresent.push_back(Registration(worker));
  }
  Perform(owner, std::move(out));
  Deliver(owner, [&](CellState& aCell, Effects& aOut) {
    HandleWorkersChanged(aCell, WorkersChanged::Create(std::move(workers)).value(), mNow, aOut);
  });
}

void
CellSimulation::ChangeQuotas(bool aUnlimited)
{
  constexpr int kMaxQuota = 8;
  constexpr std::int64_t kQuotaUnit = 1000;
  // Without late orders and earlier owners a start is carried out soon after it was decided.
  const bool isSlow = mFaults.mLostOrders > 0 || mFaults.mTakeoverEvery > 0;
  mEarlierQuotas.emplace_back(mNow + (isSlow ? kCapacityNotice : kOrderNotice), mQuotas);
  std::vector<TeamPolicy> teams;
  for (const auto* name : kTeams) {
    const std::int64_t quota = aUnlimited || Chance(15) ? 0 : kQuotaUnit * (1 + Draw(kMaxQuota));
    mQuotas[TeamId(name)] = quota;
    teams.push_back(
      TeamPolicy::Create({ .mName = TeamId(name),
                           .mKeys = {},
                           .mWeight = Draw(4),
                           .mQuota = Resources::Create({ .mCpuMillis = quota }).value() })
        .value());
  }
  mConfig = mConfig.WithTeams(std::move(teams)).WithVersion(mConfig.Version() + 1);
  Deliver(mOwner, [&](CellState& aCell, Effects&) { ConfigureCell(aCell, mConfig); });
}

std::uint32_t
CellSimulation::ProgressOf(const Run& aRun)
{
  // A short run ends before an owner could take it for one that hangs.
  constexpr int kLongWork = 1500;
  const int left = std::max(0, aRun.mWork);
  return aRun.mAllWork < kLongWork
           ? 50
           : static_cast<std::uint32_t>(100 * (aRun.mAllWork - left) / aRun.mAllWork);
}

const JobStep&
CellSimulation::StepOf(const JobTaskKey& aTask) const
{
  return mRequests.at(aTask.Job()).Definition()->Steps()[aTask.Step()];
}

WorkerRegistration
CellSimulation::Registration(const Worker& aWorker) const
{
  return WorkerRegistration::Create(
           { .mId = aWorker.mId,
             .mPool = "pool",
             .mEndpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 }).value(),
             .mZone = {},
             .mDraining = false,
             .mCapacity =
               Resources::Create({ .mCpuMillis = aWorker.mCpu, .mMemoryMb = 1000 }).value(),
             .mLabels = {},
             .mRack = {},
             .mProcessStart = aWorker.mProcessStart,
             .mDrainTimeLeft = {} })
    .value();
}

} // namespace by
