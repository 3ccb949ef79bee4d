#include "CellSimulation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

/// A run that waits for its gang ends after this. [ms]
constexpr int kGangTimeout = 3000;
/// A cancelled job starts nothing more after this. [ms]
constexpr int kCancelBound = 3000;
/// The longest lease that workers grant. [milliseconds]
constexpr double kMaxLease = 10000;

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

void
CellSimulation::CheckStart(const Worker& aWorker, const StartRun& aStart, bool aLate)
{
  const auto& task = aStart.Task();
  const auto name = absl::StrCat(NameOf(task), "#", aStart.Run(), " on ", aWorker.mId);
  std::int64_t cpu = StepOf(task).Demand().CpuMillis();
  for (const auto& run : aWorker.mRuns) {
    cpu += StepOf(run.mTask).Demand().CpuMillis();
  }
  auto capacity = aWorker.mCpu;
  for (const auto& [until, larger] : aWorker.mLargerCpu) {
    capacity = until > mNow ? std::max(capacity, larger) : capacity;
  }
  if (cpu > capacity) {
    ReportViolation("LIMIT",
                    absl::StrCat(name, " raises the used millicores to ", cpu, " of ", capacity));
  }
  for (const auto& [id, other] : mWorkers) {
    for (const auto& run : other.mRuns) {
      if (other.mUp && run.mTask == task) {
        ReportViolation("TWICE", absl::StrCat(name, " while #", run.mRun, " runs on ", id));
      }
    }
  }
  const auto& facts = mFacts[task];
  if (facts.mDoneAcknowledged) {
    ReportViolation("TWICE", name + " after it was done");
  }
  // A run of a gang is one attempt, however many of its members fail.
  const auto failures = FailuresOf(task, &TaskFacts::mFailedAcknowledged);
  if (failures.size() >= kAttempts) {
    ReportViolation("BUDGET", absl::StrCat(name, " after ", failures.size(), " failures"));
  }
  constexpr int kKnownCrashes = 3;
  constexpr int kMaxStartsAfterwards = 2;
  if (facts.mOwnCrashes >= kKnownCrashes &&
      ++mFacts[task].mStartsAfterCrashes > kMaxStartsAfterwards) {
    ReportViolation("BUDGET", absl::StrCat(name, " after ", facts.mOwnCrashes, " crashes"));
  }
  for (const auto earlier : StepOf(task).After()) {
    const auto& steps = mRequests.at(task.Job()).Definition()->Steps();
    for (std::uint32_t i = 0; i < steps[earlier].Count(); ++i) {
      if (!mFacts[task.WithStep(earlier).WithIndex(i)].mDone) {
        ReportViolation("ORDER", name);
      }
    }
  }
  const auto cancelled = mCancelled.find(task.Job());
  if (!aLate && cancelled != mCancelled.end() &&
      mNow > cancelled->second + Time::FromMilliseconds(kCancelBound)) {
    ReportViolation("UNASKED", name + " after its job was cancelled");
  }
  if (mUnthrottled[task.Job()] == 0) {
    ReportViolation("REFUSED", name + " although all submissions exceeded the quota");
  }
  CheckQuota(aStart);
  if (mRefused.contains(task.Job()) && !mSubmitted.contains(task.Job())) {
    ReportViolation("REFUSED", name);
  }
}

void
CellSimulation::CheckQuota(const StartRun& aStart)
{
  const auto teamOf = [&](const JobTaskKey& aTask) { return mRequests.at(aTask.Job()).Team(); };
  const auto team = teamOf(aStart.Task());
  std::erase_if(mEarlierQuotas, [&](const auto& aEntry) { return aEntry.first <= mNow; });
  auto quota = mQuotas[team];
  bool isLimited = quota > 0;
  for (const auto& [until, quotas] : mEarlierQuotas) {
    const auto earlier = quotas.find(team);
    isLimited = isLimited && earlier != quotas.end() && earlier->second > 0;
    quota = isLimited ? std::max(quota, earlier->second) : 0;
  }
  if (!isLimited) {
    return;
  }
  auto used = StepOf(aStart.Task()).Demand().CpuMillis();
  for (const auto& [id, worker] : mWorkers) {
    for (const auto& run : worker.mRuns) {
      // A successor learns of runs of jobs that have ended from the workers' reports only.
      const bool isKnown = !mHasTakeovers || mOwner->mCell.mJobs.contains(run.mTask.Job());
      used += isKnown && teamOf(run.mTask) == team ? StepOf(run.mTask).Demand().CpuMillis() : 0;
    }
  }
  if (used > quota) {
    ReportViolation("QUOTA",
                    absl::StrCat(NameOf(aStart.Task()),
                                 " takes team ",
                                 team.Text(),
                                 " to ",
                                 used,
                                 " millicores of ",
                                 quota));
  }
}

void
CellSimulation::ExtendLease(Worker& aWorker, double aUntil)
{
  // Workers shorten a lease that is longer than they grant.
  aWorker.mLease = std::max(aWorker.mLease, std::min(aUntil, aWorker.mWorkerClock + kMaxLease));
}

OrderOutcome
CellSimulation::Start(Worker& aWorker, const StartRun& aStart, bool aLate)
{
  if (aStart.Epoch() < aWorker.mToken) {
    return OrderOutcome::Fenced;
  }
  aWorker.mToken = aStart.Epoch();
  const auto lease = static_cast<double>(aStart.LeaseUntil().Milliseconds());
  ExtendLease(aWorker, lease);
  for (const auto& run : aWorker.mRuns) {
    if (IsRun(run, aStart.Task(), aStart.Run())) {
      return OrderOutcome::Accepted;
    }
  }
  const auto closedRun = aWorker.mHighestClosedRun.find(aStart.Task());
  if (closedRun != aWorker.mHighestClosedRun.end() && aStart.Run() <= closedRun->second) {
    return OrderOutcome::Obsolete;
  }
  if (lease <= aWorker.mWorkerClock) {
    return OrderOutcome::LeaseExpired;
  }
  CheckStart(aWorker, aStart, aLate);
  ++mStarts;
  mFacts[aStart.Task()].mLastStart = mNow;
  const auto estimate = static_cast<int>(StepOf(aStart.Task()).Estimate().Milliseconds());
  const auto crashing = mCrashing.find(aStart.Task());
  const int work = estimate / 2 + Draw(estimate + 1);
  aWorker.mRuns.push_back(
    { aStart.Task(),
      aStart.Run(),
      work,
      work,
      Chance(8),
      mNow,
      crashing == mCrashing.end() ? Time::Never() : mNow + crashing->second });
  return OrderOutcome::Accepted;
}

OrderOutcome
CellSimulation::Stop(Worker& aWorker, const StopRun& aStop)
{
  if (aStop.Epoch() < aWorker.mToken) {
    return OrderOutcome::Fenced;
  }
  aWorker.mToken = aStop.Epoch();
  auto& closedRun = aWorker.mHighestClosedRun[aStop.Task()];
  closedRun = std::max(closedRun, aStop.Run());
  After(Draw(150), [this, id = aWorker.mId, processStart = aWorker.mProcessStart, aStop] {
    auto& worker = mWorkers.at(id);
    for (std::size_t i = 0; worker.mProcessStart == processStart && i < worker.mRuns.size(); ++i) {
      if (IsRun(worker.mRuns[i], aStop.Task(), aStop.Run())) {
        EndRunOf(worker, i, RunEnd::Stopped);
        return;
      }
    }
  });
  return OrderOutcome::Accepted;
}

void
CellSimulation::EndRunOf(Worker& aWorker, std::size_t aIndex, RunEnd aEnd)
{
  const auto run = aWorker.mRuns[aIndex];
  aWorker.mRuns.erase(aWorker.mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
  auto& closedRun = aWorker.mHighestClosedRun[run.mTask];
  closedRun = std::max(closedRun, run.mRun);
  aWorker.mEnded.push_back(
    EndedRun::Create(
      { .mNumber = ++aWorker.mLastEnd, .mTask = run.mTask, .mRun = run.mRun, .mEnd = aEnd })
      .value());
  aWorker.mEndTimes[aWorker.mLastEnd] = mNow;
  auto& facts = mFacts[run.mTask];
  if (aEnd == RunEnd::Failed) {
    facts.mFailed.insert(run.mRun);
  }
  if (aEnd == RunEnd::Done) {
    facts.mDone = true;
    if (StepOf(run.mTask).Gang()) {
      for (std::uint32_t i = 0; i < StepOf(run.mTask).Count(); ++i) {
        mFacts[run.mTask.WithIndex(i)].mDone = true;
      }
    }
  }
}

void
CellSimulation::CrashByTask(Worker& aWorker)
{
  for (const auto& run : aWorker.mRuns) {
    if (run.mCrashesAt <= mNow) {
      ++mFacts[run.mTask].mOwnCrashes;
      Crash(aWorker);
      return;
    }
  }
}

void
CellSimulation::Resize(Worker& aWorker)
{
  const bool isBack = mFaults.mResizeEvery == 0;
  aWorker.mLargerCpu.emplace_back(mNow + kCapacityNotice, aWorker.mCpu);
  aWorker.mCpu = isBack ? kCpu : kCpu * Draw(5) / 4;
  Deliver(mOwner, [this, entry = Registration(aWorker)](CellState& aCell, Effects& aOut) {
    HandleWorkersChanged(
      aCell, WorkersChanged::Create({ .mPresent = { entry } }).value(), mNow, aOut);
  });
}

std::set<std::uint32_t>
CellSimulation::FailuresOf(const JobTaskKey& aTask, std::set<std::uint32_t> TaskFacts::*aRuns) const
{
  const auto& step = StepOf(aTask);
  const auto first = step.Gang() ? 0 : aTask.Index();
  const auto end = step.Gang() ? step.Count() : first + 1;
  std::set<std::uint32_t> failures;
  for (auto i = first; i < end; ++i) {
    const auto it = mFacts.find(aTask.WithIndex(i));
    if (it != mFacts.end()) {
      const auto& runs = it->second.*aRuns;
      failures.insert(runs.begin(), runs.end());
    }
  }
  return failures;
}

/// A job may fail for a task or a gang that used up its attempts, or for a task under which two
/// workers have crashed. Where workers crash by tasks alone, a healthy job never fails for it.
void
CellSimulation::CheckFailedJob(const std::string& aJob)
{
  bool isCrashing = false;
  int crashes = 0;
  std::size_t most = 0;
  for (const auto& [task, facts] : mFacts) {
    if (task.Job() == aJob) {
      isCrashing = isCrashing || mCrashing.contains(task);
      crashes = std::max(crashes, facts.mCrashes);
      most = std::max(most, FailuresOf(task, &TaskFacts::mFailed).size());
    }
  }
  const bool mayBeGivenUp = crashes >= 2 && (isCrashing || mCrashesAtRandom);
  if (most < kAttempts && !mayBeGivenUp) {
    ReportViolation("LOST",
                    absl::StrCat(aJob, " failed after ", most, " failures, ", crashes, " crashes"));
  }
}

void
CellSimulation::Work(Worker& aWorker)
{
  if (aWorker.mUp) {
    CrashByTask(aWorker);
  }
  if (!aWorker.mUp) {
    return;
  }
  aWorker.mWorkerClock += kStep * aWorker.mRate;
  if (aWorker.mWorkerClock > aWorker.mLease) {
    aWorker.mLeaseExpiredAt = mNow;
    while (!aWorker.mRuns.empty()) {
      EndRunOf(aWorker, 0, RunEnd::LeaseExpired);
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

int
CellSimulation::DrawOtherFailures()
{
  constexpr int kSome = 50;
  constexpr int kAll = 100;
  if (mFaults.mJointFailures == 0 || !Chance(mFaults.mJointFailures)) {
    return 0;
  }
  return Chance(50) ? kSome : kAll;
}

void
CellSimulation::WorkGangs()
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
          end = RunEnd::GangIncomplete;
        } else if (isWhole && run.mWork <= 0) {
          end = run.mFails ? RunEnd::Failed : end.value_or(RunEnd::Done);
        }
      }
    }
    if (!end) {
      continue;
    }
    const int others = *end == RunEnd::Failed ? DrawOtherFailures() : 0;
    bool isFirst = true;
    for (const auto& member : members) {
      for (std::size_t i = 0; i < member.mWorker->mRuns.size(); ++i) {
        if (IsRun(member.mWorker->mRuns[i], member.mTask, number)) {
          const bool isSame = *end == RunEnd::Done || *end == RunEnd::GangIncomplete || isFirst ||
                              (others > 0 && Chance(others));
          EndRunOf(*member.mWorker, i, isSame ? *end : RunEnd::GangBroken);
          isFirst = false;
          break;
        }
      }
    }
  }
}

void
CellSimulation::Crash(Worker& aWorker)
{
  // The owner can't tell whether a start that went unanswered was carried out.
  auto tasks = std::exchange(aWorker.mUnansweredStarts, {});
  for (const auto& run : aWorker.mRuns) {
    tasks.insert(run.mTask);
  }
  // An end that no poll has reported is lost with its worker.
  for (const auto& end : aWorker.mEnded) {
    tasks.insert(end.Task());
  }
  for (const auto& task : tasks) {
    ++mFacts[task].mCrashes;
  }
  aWorker.mUp = false;
  aWorker.mDownUntil = mNow + Time::FromMilliseconds(300 + Draw(5000));
  aWorker.mRuns.clear();
  aWorker.mEnded.clear();
  aWorker.mLastEnd = 0;
  aWorker.mEndTimes.clear();
  aWorker.mHighestClosedRun.clear();
  aWorker.mToken = 0;
  aWorker.mLease = 0;
}

void
CellSimulation::Restart(Worker& aWorker)
{
  Crash(aWorker);
  aWorker.mDownUntil = mNow + Time::FromMilliseconds(5 + Draw(600));
}

void
CellSimulation::Begin(Worker& aWorker)
{
  aWorker.mUp = true;
  aWorker.mProcessStart = mNow;
  aWorker.mCpu = kCpu;
  aWorker.mLargerCpu.clear();
  aWorker.mWorkerClock = mFaults.mRestartEvery > 0 ? Draw(100000) : 0;
  const auto show = [this, entry = Registration(aWorker)] {
    Deliver(mOwner, [&](CellState& aCell, Effects& aOut) {
      HandleWorkersChanged(
        aCell, WorkersChanged::Create({ .mPresent = { entry } }).value(), mNow, aOut);
    });
  };
  if (mFaults.mRestartEvery > 0) {
    After(Draw(1500), show);
  } else {
    show();
  }
}

} // namespace by
