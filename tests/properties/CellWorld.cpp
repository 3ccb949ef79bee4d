#include "CellWorld.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

constexpr int kWorkers = 4;
constexpr std::int64_t kCpu = 4000;
constexpr std::uint32_t kAttempts = 3;
/// A run that waits for its gang gives up after this.
constexpr int kGangTimeout = 3000;
/// A cancelled job starts nothing more after this.
constexpr int kCancelBound = 3000;
constexpr const char* kNode = "owner";

std::string
NameOf(const JobTaskKey& aTask)
{
  return absl::StrCat(aTask.Job(), ".", aTask.Step(), ".", aTask.Index());
}

template<class Row>
bool
IsRun(const Row& aRow, const JobTaskKey& aTask, std::uint32_t aRun)
{
  return aRow.mTask == aTask && aRow.mRun == aRun;
}

} // namespace

CellWorld::CellWorld(std::uint32_t aSeed, CellFaults aFaults)
  : mRandom(aSeed)
  , mFaults(aFaults)
{
  for (int i = 1; i <= kWorkers; ++i) {
    Worker worker;
    worker.mId = absl::StrCat("w", i);
    worker.mBorn = mNow + Time::FromMilliseconds(i);
    worker.mRate = 1.0 - 0.01 * Draw(3);
    worker.mClock = Draw(100000);
    mWorkers.emplace(worker.mId, worker);
  }
  TakeOver();
}

void
CellWorld::After(int aMilliseconds, std::function<void()> aDo)
{
  mLater.push_back({ mNow + Time::FromMilliseconds(aMilliseconds), std::move(aDo) });
}

void
CellWorld::Break(const std::string& aRule, const std::string& aSeen)
{
  mBroken.push_back(absl::StrCat(aRule, " at ", mNow.Milliseconds() - 1000000, ": ", aSeen));
}

void
CellWorld::Play(int aMilliseconds)
{
  for (int t = 0; t < aMilliseconds && mBroken.empty(); t += kStep) {
    Step(false);
  }
  constexpr int kCalm = 60000;
  for (int t = 0; t < kCalm && mBroken.empty(); t += kStep) {
    Step(true);
    if (t % 1000 == 0 && mOwner->mCell.mJobs.empty()) {
      break;
    }
  }
  for (const auto& id : mAccepted) {
    const bool ended = mOwner->mCell.mOutcomes.contains(id);
    if (!ended && mBroken.empty()) {
      Break("LOST", absl::StrCat(id, " has not ended"));
    }
  }
}

void
CellWorld::Step(bool aCalm)
{
  mNow = mNow + Time::FromMilliseconds(kStep);
  if (aCalm) {
    mFaults = {};
  } else {
    SubmitSome();
  }
  for (auto& [id, worker] : mWorkers) {
    if (worker.mUp && Every(mFaults.mCutEvery)) {
      worker.mCutUntil = mNow + Time::FromMilliseconds(500 + Draw(9000));
    }
    if (worker.mUp && Every(mFaults.mCrashEvery)) {
      Crash(worker);
    }
    if (!worker.mUp && worker.mDownUntil <= mNow) {
      worker.mUp = true;
      worker.mBorn = mNow;
      worker.mClock = 0;
      Deliver(mOwner, [this, entry = Registration(worker)](CellState& aCell, Effects& aOut) {
        HandleWorkersChanged(
          aCell, WorkersChanged::Create({ .mPresent = { entry } }).value(), mNow, aOut);
      });
    }
    Work(worker);
  }
  WorkGangs();
  if (Every(mFaults.mTakeoverEvery)) {
    TakeOver();
  }
  std::vector<Later> due;
  std::erase_if(mLater, [&](Later& aLater) {
    if (aLater.mAt > mNow) {
      return false;
    }
    due.push_back(std::move(aLater));
    return true;
  });
  for (const auto& later : due) {
    later.mDo();
  }
  Deliver(mOwner, [this](CellState& aCell, Effects& aOut) { CheckCell(aCell, mNow, aOut); });
}

void
CellWorld::SubmitSome()
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
                                       .mStretch = 2,
                                       .mSlack = Time::FromMilliseconds(300),
                                       .mAdvice = std::nullopt })
                   .value();
    mRequests.emplace(
      id,
      CellRequest::Create({ .mCall = 0,
                            .mKind = JobCallKind::Submit,
                            .mQueue = queue,
                            .mJob = id,
                            .mDefinition = JobDefinition::Create(std::move(definition)).value() })
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
    mMaybe.insert(it->first);
  }
  Deliver(mOwner,
          [this, request = it->second.WithKind(kind), call](CellState& aCell, Effects& aOut) {
            HandleRequest(aCell, { kNode, call }, request, mNow, aOut);
          });
}

void
CellWorld::Deliver(const std::shared_ptr<Owner>& aOwner,
                   const std::function<void(CellState&, Effects&)>& aEvent)
{
  if (aOwner->mOver) {
    return;
  }
  Effects out;
  aEvent(aOwner->mCell, out);
  WorkOnCell(aOwner->mCell, mNow, out);
  aOwner->mOver = aOwner->mCell.mFenced;
  Perform(aOwner, std::move(out));
}

void
CellWorld::Perform(const std::shared_ptr<Owner>& aOwner, Effects aEffects)
{
  for (const auto& effect : aEffects) {
    const auto& body = effect.Body();
    if (const auto* append = std::get_if<AppendToCell>(&body)) {
      After(4, [this, aOwner, append = *append] { Append(aOwner, append); });
    } else if (const auto* start = std::get_if<StartRun>(&body)) {
      Order(
        aOwner,
        start->Worker(),
        [this, start = *start](Worker& aWorker) { return Start(aWorker, start, false); },
        [this, start = *start](CellState& aCell, Effects& aOut, OrderOutcome aOutcome) {
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
        [this, stop = *stop](Worker& aWorker) { return Stop(aWorker, stop); },
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
    } else if (const auto* look = std::get_if<LookAtWorker>(&body)) {
      Look(aOwner, *look);
    } else if (const auto* reply = std::get_if<ReplyToCaller>(&body)) {
      Reply(reply->Reply());
    }
  }
}

void
CellWorld::Reply(const JobReply& aReply)
{
  const auto& id = mCalls.at(aReply.Call());
  if (aReply.Verdict() == JobVerdict::Accepted) {
    mAccepted.insert(id);
  } else if (aReply.Verdict() == JobVerdict::Refused) {
    mRefused.insert(id);
  } else if (aReply.Verdict() == JobVerdict::Cancelled &&
             mKinds[aReply.Call()] == JobCallKind::Cancel) {
    mCancelled.emplace(id, mNow);
  }
}

void
CellWorld::Append(const std::shared_ptr<Owner>& aOwner, const AppendToCell& aAppend)
{
  auto outcome = StoreOutcome::Done;
  const bool isTurnedAway = Chance(mFaults.mLostAppends) && Chance(50);
  const bool isNeverDone = Chance(mFaults.mLostAppends) && Chance(30);
  const bool isLost = Chance(mFaults.mLostAppends);
  if (isTurnedAway) {
    outcome = StoreOutcome::Refused;
  } else if (isNeverDone) {
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
CellWorld::Order(const std::shared_ptr<Owner>& aOwner,
                 const std::string& aWorker,
                 const std::function<OrderOutcome(Worker&)>& aDo,
                 const std::function<void(CellState&, Effects&, OrderOutcome)>& aAnswer)
{
  const auto answer = [this, aOwner, aAnswer](OrderOutcome aOutcome) {
    Deliver(aOwner, [&](CellState& aCell, Effects& aOut) { aAnswer(aCell, aOut, aOutcome); });
  };
  const bool isLost = Chance(mFaults.mLostOrders);
  const int late = isLost && Chance(50) ? 2000 + Draw(6000) : 0;
  // An order that a worker holds back is lost with its process.
  const auto born = mWorkers.at(aWorker).mBorn;
  After(1 + Draw(4) + late, [this, aWorker, aDo, answer, isLost, late, born] {
    auto& worker = mWorkers.at(aWorker);
    const bool isReached =
      worker.mUp && (late > 0 ? worker.mBorn == born : worker.mCutUntil <= mNow);
    if (!isReached) {
      After(500, [answer] { answer(OrderOutcome::Unanswered); });
      return;
    }
    const auto outcome = isLost && late == 0 && Chance(30) ? OrderOutcome::Unanswered : aDo(worker);
    if (!isLost) {
      After(1 + Draw(4), [answer, outcome] { answer(outcome); });
    }
  });
  if (isLost) {
    After(500, [answer] { answer(OrderOutcome::Unanswered); });
  }
}

void
CellWorld::Look(const std::shared_ptr<Owner>& aOwner, const LookAtWorker& aLook)
{
  const auto answer = [this, aOwner, id = aLook.Worker()](OrderOutcome aOutcome,
                                                          const WorkerLists& aLists) {
    Deliver(aOwner, [&](CellState& aCell, Effects& aOut) {
      HandleLooked(
        aCell,
        WorkerLooked::Create({ .mWorker = id, .mOutcome = aOutcome, .mLists = aLists }).value(),
        mNow,
        aOut);
    });
  };
  After(1 + Draw(4), [this, aLook, answer] {
    auto& worker = mWorkers.at(aLook.Worker());
    if (!worker.mUp || worker.mCutUntil > mNow || Chance(mFaults.mLostOrders)) {
      After(500, [answer] { answer(OrderOutcome::Unanswered, {}); });
      return;
    }
    if (aLook.Epoch() < worker.mToken) {
      answer(OrderOutcome::Fenced, {});
      return;
    }
    worker.mToken = aLook.Epoch();
    if (aLook.LeaseUntil()) {
      worker.mLease =
        std::max(worker.mLease, static_cast<double>(aLook.LeaseUntil()->Milliseconds()));
    }
    std::erase_if(worker.mEnded, [&](const EndedRun& aEnd) {
      if (aEnd.Number() > aLook.Acknowledged()) {
        return false;
      }
      auto& truth = mTruth[aEnd.Task()];
      // An end counts as noted unless the worker's lease ran out before it was acknowledged.
      const bool counts = worker.mLapsedAt < worker.mEndTimes[aEnd.Number()];
      truth.mDoneNoted = truth.mDoneNoted || (counts && aEnd.How() == RunEnd::Done);
      if (aEnd.How() == RunEnd::Failed) {
        truth.mFailedNoted.insert(aEnd.Run());
      }
      return true;
    });
    WorkerLists::Fields lists;
    lists.mClock = Time::FromMilliseconds(static_cast<std::int64_t>(worker.mClock));
    lists.mBorn = worker.mBorn;
    for (const auto& run : worker.mRuns) {
      lists.mRunning.push_back(
        RunningRun::Create({ .mTask = run.mTask, .mRun = run.mRun, .mPercent = 50 }).value());
    }
    lists.mEnded = worker.mEnded;
    After(1 + Draw(4), [answer, lists = WorkerLists::Create(std::move(lists)).value()] {
      answer(OrderOutcome::Accepted, lists);
    });
  });
}

void
CellWorld::CheckStart(const Worker& aWorker, const StartRun& aStart, bool aLate)
{
  const auto& task = aStart.Task();
  const auto name = absl::StrCat(NameOf(task), "#", aStart.Run(), " on ", aWorker.mId);
  std::int64_t cpu = StepOf(task).Demand().CpuMillis();
  for (const auto& run : aWorker.mRuns) {
    cpu += StepOf(run.mTask).Demand().CpuMillis();
  }
  if (cpu > kCpu) {
    Break("LIMIT", absl::StrCat(name, " makes ", cpu));
  }
  for (const auto& [id, other] : mWorkers) {
    for (const auto& run : other.mRuns) {
      if (other.mUp && run.mTask == task) {
        Break("TWICE", absl::StrCat(name, " while #", run.mRun, " runs on ", id));
      }
    }
  }
  const auto& truth = mTruth[task];
  if (truth.mDoneNoted) {
    Break("TWICE", name + " after it was done");
  }
  if (truth.mFailedNoted.size() >= kAttempts) {
    Break("BUDGET", name);
  }
  for (const auto earlier : StepOf(task).After()) {
    const auto& steps = mRequests.at(task.Job()).Definition()->Steps();
    for (std::uint32_t i = 0; i < steps[earlier].Count(); ++i) {
      if (!mTruth[task.WithStep(earlier).WithIndex(i)].mDone) {
        Break("ORDER", name);
      }
    }
  }
  const auto cancelled = mCancelled.find(task.Job());
  if (!aLate && cancelled != mCancelled.end() &&
      mNow > cancelled->second + Time::FromMilliseconds(kCancelBound)) {
    Break("UNASKED", name + " after its job was cancelled");
  }
  if (mRefused.contains(task.Job()) && !mMaybe.contains(task.Job())) {
    Break("REFUSED", name);
  }
}

OrderOutcome
CellWorld::Start(Worker& aWorker, const StartRun& aStart, bool aLate)
{
  if (aStart.Epoch() < aWorker.mToken) {
    return OrderOutcome::Fenced;
  }
  aWorker.mToken = aStart.Epoch();
  const auto lease = static_cast<double>(aStart.LeaseUntil().Milliseconds());
  aWorker.mLease = std::max(aWorker.mLease, lease);
  for (const auto& run : aWorker.mRuns) {
    if (IsRun(run, aStart.Task(), aStart.Run())) {
      return OrderOutcome::Accepted;
    }
  }
  const auto barred = aWorker.mBarred.find(aStart.Task());
  if (barred != aWorker.mBarred.end() && aStart.Run() <= barred->second) {
    return OrderOutcome::Obsolete;
  }
  if (lease <= aWorker.mClock) {
    return OrderOutcome::Late;
  }
  CheckStart(aWorker, aStart, aLate);
  ++mStarts;
  const auto estimate = static_cast<int>(StepOf(aStart.Task()).Estimate().Milliseconds());
  aWorker.mRuns.push_back(
    { aStart.Task(), aStart.Run(), estimate / 2 + Draw(estimate + 1), Chance(8), mNow });
  return OrderOutcome::Accepted;
}

OrderOutcome
CellWorld::Stop(Worker& aWorker, const StopRun& aStop)
{
  if (aStop.Epoch() < aWorker.mToken) {
    return OrderOutcome::Fenced;
  }
  aWorker.mToken = aStop.Epoch();
  auto& barred = aWorker.mBarred[aStop.Task()];
  barred = std::max(barred, aStop.Run());
  After(Draw(150), [this, id = aWorker.mId, born = aWorker.mBorn, aStop] {
    auto& worker = mWorkers.at(id);
    for (std::size_t i = 0; worker.mBorn == born && i < worker.mRuns.size(); ++i) {
      if (IsRun(worker.mRuns[i], aStop.Task(), aStop.Run())) {
        EndRunOf(worker, i, RunEnd::Stopped);
        return;
      }
    }
  });
  return OrderOutcome::Accepted;
}

void
CellWorld::EndRunOf(Worker& aWorker, std::size_t aIndex, RunEnd aHow)
{
  const auto run = aWorker.mRuns[aIndex];
  aWorker.mRuns.erase(aWorker.mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
  auto& barred = aWorker.mBarred[run.mTask];
  barred = std::max(barred, run.mRun);
  aWorker.mEnded.push_back(
    EndedRun::Create(
      { .mNumber = ++aWorker.mLastEnd, .mTask = run.mTask, .mRun = run.mRun, .mHow = aHow })
      .value());
  aWorker.mEndTimes[aWorker.mLastEnd] = mNow;
  auto& truth = mTruth[run.mTask];
  if (aHow == RunEnd::Done) {
    truth.mDone = true;
    if (StepOf(run.mTask).Gang()) {
      for (std::uint32_t i = 0; i < StepOf(run.mTask).Count(); ++i) {
        mTruth[run.mTask.WithIndex(i)].mDone = true;
      }
    }
  }
}

void
CellWorld::Work(Worker& aWorker)
{
  if (!aWorker.mUp) {
    return;
  }
  aWorker.mClock += kStep * aWorker.mRate;
  if (aWorker.mClock > aWorker.mLease) {
    aWorker.mLapsedAt = mNow;
    while (!aWorker.mRuns.empty()) {
      EndRunOf(aWorker, 0, RunEnd::Lapsed);
    }
  }
  for (std::size_t i = 0; i < aWorker.mRuns.size();) {
    auto& run = aWorker.mRuns[i];
    if (StepOf(run.mTask).Gang()) {
      ++i;
      continue;
    }
    run.mWork -= kStep;
    if (run.mWork > 0) {
      ++i;
      continue;
    }
    EndRunOf(aWorker, i, run.mFails ? RunEnd::Failed : RunEnd::Done);
  }
}

void
CellWorld::WorkGangs()
{
  struct Member
  {
    Worker* mWorker;
    JobTaskKey mTask;
  };
  std::map<std::pair<JobTaskKey, std::uint32_t>, std::vector<Member>> gangs;
  for (auto& [id, worker] : mWorkers) {
    for (const auto& run : worker.mRuns) {
      if (worker.mUp && StepOf(run.mTask).Gang()) {
        gangs[{ run.mTask.WithIndex(0), run.mRun }].push_back({ &worker, run.mTask });
      }
    }
  }
  for (const auto& [key, members] : gangs) {
    const auto number = key.second;
    const bool isWhole = members.size() == StepOf(key.first).Count();
    std::optional<RunEnd> end;
    for (const auto& member : members) {
      for (auto& run : member.mWorker->mRuns) {
        if (!IsRun(run, member.mTask, number)) {
          continue;
        }
        run.mWork -= isWhole ? kStep : 0;
        if (!isWhole && mNow > run.mBegan + Time::FromMilliseconds(kGangTimeout)) {
          end = RunEnd::Alone;
        } else if (isWhole && run.mWork <= 0) {
          end = run.mFails ? RunEnd::Failed : end.value_or(RunEnd::Done);
        }
      }
    }
    if (!end) {
      continue;
    }
    bool isFirst = true;
    for (const auto& member : members) {
      for (std::size_t i = 0; i < member.mWorker->mRuns.size(); ++i) {
        if (IsRun(member.mWorker->mRuns[i], member.mTask, number)) {
          const auto how =
            *end == RunEnd::Done || *end == RunEnd::Alone || isFirst ? *end : RunEnd::Broken;
          EndRunOf(*member.mWorker, i, how);
          isFirst = false;
          break;
        }
      }
    }
  }
}

void
CellWorld::Crash(Worker& aWorker)
{
  aWorker.mUp = false;
  aWorker.mDownUntil = mNow + Time::FromMilliseconds(300 + Draw(5000));
  aWorker.mRuns.clear();
  aWorker.mEnded.clear();
  aWorker.mLastEnd = 0;
  aWorker.mEndTimes.clear();
  aWorker.mBarred.clear();
  aWorker.mToken = 0;
  aWorker.mLease = 0;
}

void
CellWorld::TakeOver()
{
  ++mEpoch;
  mStoreEpoch = mEpoch;
  mStoreSequence = 0;
  CellState empty;
  empty.mNode = kNode;
  empty.mEpoch = mEpoch;
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
    // The earlier owner may act on until the store or a worker fences it.
    auto earlier = mOwner;
    After(Draw(3000), [earlier] { earlier->mOver = true; });
  }
  mOwner = owner;
  for (const auto& id : mAccepted) {
    if (!owner->mCell.mJobs.contains(id) && !owner->mCell.mOutcomes.contains(id)) {
      Break("LOST", id + " is not known to the next owner");
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

const JobStep&
CellWorld::StepOf(const JobTaskKey& aTask) const
{
  return mRequests.at(aTask.Job()).Definition()->Steps()[aTask.Step()];
}

WorkerRegistration
CellWorld::Registration(const Worker& aWorker) const
{
  return WorkerRegistration::Create(
           { .mId = aWorker.mId,
             .mPool = "pool",
             .mEndpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 }).value(),
             .mZone = {},
             .mDraining = false,
             .mCapacity = Resources::Create({ .mCpuMillis = kCpu, .mMemoryMb = 1000 }).value(),
             .mLabels = {},
             .mRack = {},
             .mBorn = aWorker.mBorn,
             .mRemaining = {} })
    .value();
}

} // namespace by
