#include "by_cell/TeamCell.h"

#include <algorithm>

#include "by_cell/TakeAll.h"

namespace by {

TeamCell::TeamCell(int aWorkers)
  : CellFixture(aWorkers)
{
}

TeamPolicy
TeamCell::Team(const std::string& aName, std::int64_t aQuota, std::int64_t aWeight)
{
  return TeamPolicy::Create({ .mName = TeamId(aName),
                              .mKeys = {},
                              .mWeight = aWeight,
                              .mQuota = Resources::Create({ .mCpuMillis = aQuota }).value() })
    .value();
}

void
TeamCell::Configure(std::vector<TeamPolicy> aTeams)
{
  const auto version = mCell.mConfig.Version() + 1;
  ConfigureCell(mCell, mCell.mConfig.WithTeams(std::move(aTeams)).WithVersion(version));
  StoreAll();
}

void
TeamCell::SubmitUnstoredAs(const std::string& aTeam,
                           const std::string& aJob,
                           std::vector<JobStep::Fields> aSteps)
{
  HandleRequest(mCell,
                { mCell.mNode, 1 },
                Submission(aJob, std::move(aSteps)).WithTeam(TeamId(aTeam)),
                mNow,
                mOut);
}

void
TeamCell::SubmitAs(const std::string& aTeam,
                   const std::string& aJob,
                   std::vector<JobStep::Fields> aSteps)
{
  SubmitUnstoredAs(aTeam, aJob, std::move(aSteps));
  StoreAll();
  AcceptStarts();
}

std::vector<StartRun>
TeamCell::AcceptStarts()
{
  auto starts = TakeStarts();
  for (const auto& start : starts) {
    const RunId run{ start.Task(), start.Run() };
    Started(start.Worker(), run, OrderOutcome::Accepted);
    mRunning.emplace_back(start.Worker(), run);
  }
  return starts;
}

void
TeamCell::EndRuns(const std::string& aJob, std::size_t aRuns)
{
  for (std::size_t n = 0; n < aRuns; ++n) {
    const auto it = std::find_if(mRunning.begin(), mRunning.end(), [&](const auto& aRun) {
      return aRun.second.mTask.Job() == aJob;
    });
    if (it == mRunning.end()) {
      return;
    }
    const auto [worker, run] = *it;
    mRunning.erase(it);
    std::vector<RunningRun> running;
    for (const auto& [other, left] : mRunning) {
      if (other == worker) {
        running.push_back(Running(left));
      }
    }
    Poll(worker, std::move(running), { Ended(++mEnds[worker], run, RunEnd::Done) });
    StoreAll();
    AcceptStarts();
  }
}

std::int64_t
TeamCell::Charged(const std::string& aTeam) const
{
  const auto it = mCell.mTeams.mRows.find(TeamId(aTeam));
  return it == mCell.mTeams.mRows.end() ? 0 : it->second.Used().CpuMillis();
}

std::size_t
TeamCell::CountRunning(const std::string& aJob) const
{
  return static_cast<std::size_t>(
    std::count_if(mRunning.begin(), mRunning.end(), [&](const auto& aRun) {
      return aRun.second.mTask.Job() == aJob;
    }));
}

std::size_t
TeamCell::TakeLogged(const std::string& aEvent)
{
  const auto lines = TakeAll<LogLine>(mOut);
  return static_cast<std::size_t>(std::count_if(
    lines.begin(), lines.end(), [&](const LogLine& aLine) { return aLine.Event() == aEvent; }));
}

} // namespace by
