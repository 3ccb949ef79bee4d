#include "by_cell/detail/TeamRates.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_queueing/TeamRate.h"

namespace by::detail {

namespace {

/// A pool counts as short of capacity for this long after a step has waited for it. Placement
/// passes over waiting steps are at most 250 ms apart.
constexpr Time kShortageTime = Time::FromMilliseconds(1000);
/// Interval between updates of the shares; about that of heartbeats, which carry them.
constexpr Time kUpdateInterval = Time::FromMilliseconds(500);
/// A team is within its rate again when it has not exceeded it for this long.
constexpr Time kWithinRateTime = Time::FromMilliseconds(2000);
/// Submissions in excess leave this share of the open jobs to the others, also where they wait for
/// something else than capacity.
constexpr std::uint64_t kExcessJobDivisor = 2;
/// A team is far over its rate after a second's worth of submissions in excess, and at least so
/// many, so that callers that happen to submit at the same time do not count.
constexpr std::uint64_t kMinFarExcess = 5;
/// Lines about refused submissions of a team in a second.
constexpr std::uint32_t kLinesPerSecond = 5;
constexpr Time kLogPeriod = Time::FromMilliseconds(1000);

const TeamPolicy*
FindTeam(const CellState& aState, const TeamId& aTeam)
{
  // If a team is listed twice, its first entry applies.
  const auto& teams = aState.mConfig.Teams();
  const auto it = std::find_if(
    teams.begin(), teams.end(), [&](const TeamPolicy& aPolicy) { return aPolicy.Name() == aTeam; });
  return it == teams.end() ? nullptr : &*it;
}

/// @returns the rate of a team; that of the least weight where a node has a configuration with the
/// team and the owner has not.
std::int64_t
RateOf(const CellState& aState, const TeamId& aTeam)
{
  const auto* policy = FindTeam(aState, aTeam);
  return JobsPerSecond(policy == nullptr ? 0 : policy->Weight());
}

/// @returns why submissions beyond a team's rate are refused; null if they are accepted.
const char*
ExcessRefusalReason(const CellState& aState, const std::string& aPool, Time aNow)
{
  const auto missed = aState.mCapacityMissedAt.find(aPool);
  if (missed != aState.mCapacityMissedAt.end() && aNow < missed->second + kShortageTime) {
    return "team over rate, pool short of capacity";
  }
  if (aState.mIsBehind) {
    return "team over rate, owner overloaded";
  }
  return aState.mJobs.size() >= aState.mSettings.JobLimit() / kExcessJobDivisor
           ? "team over rate, many open jobs"
           : nullptr;
}

void
NoteOverRate(TeamRateRow& aRow,
             const TeamId& aTeam,
             std::int64_t aRate,
             const char* aReason,
             Time aNow,
             Effects& aOut)
{
  aRow.mOverAt = aNow;
  if (aRow.mOverSince != Time::Never()) {
    return;
  }
  aRow.mOverSince = aNow;
  aRow.mExcessCount = 0;
  aRow.mRefusedCount = 0;
  Log(aOut,
      "team.over_rate",
      aTeam.Text(),
      absl::StrCat("over=1 jobs_per_s=",
                   aRate,
                   " submissions=",
                   aReason == nullptr ? "accepted in excess" : aReason));
}

Time
RefuseExcess(TeamRateRow& aRow,
             const CellRequest& aRequest,
             std::int64_t aRate,
             const char* aReason,
             Time aNow,
             Effects& aOut)
{
  aRow.mRefusedAt = aNow;
  const auto delay = ReturnDelay(AddRefused(aRow.mRefused, aRate, aNow), aRow.mRefusedCount++);
  if (const auto unlogged = CountForLog(aRow.mLog, aNow)) {
    Log(aOut,
        "job.refused",
        aRequest.Job(),
        absl::StrCat("reason=",
                     aReason,
                     " team=",
                     aRequest.Team().Text(),
                     " jobs_per_s=",
                     aRate,
                     " admitted_permille=",
                     aRow.mDemand.mAdmittedPermille,
                     " retry_after_ms=",
                     delay.Milliseconds(),
                     " unlogged=",
                     *unlogged));
  }
  return delay;
}

bool
IsIdle(const TeamRateRow& aRow)
{
  return aRow.mOverSince == Time::Never() && aRow.mDemand == TeamDemand();
}

} // namespace

void
NoteCapacityMiss(PlacementPass& aPass,
                 const ReadyKey& aKey,
                 const JobStep& aStep,
                 const StepRow& aRow,
                 Time aLatestStart,
                 const std::string& aPool)
{
  if (aPass.mState.mConfig.Teams().empty()) {
    return;
  }
  auto& missedAt = aPass.mState.mCapacityMissedAt;
  if (const auto it = missedAt.find(aPool); it != missedAt.end() && it->second == aPass.mNow) {
    return;
  }
  const std::size_t needed = aStep.Gang() ? aStep.Count() : 1;
  const auto& workers = PoolOf(aPass, aPool);
  if (CountSlots(aPass, workers, aStep, TaskOf(aKey, 0), aRow, aLatestStart, needed) < needed) {
    missedAt.insert_or_assign(aPool, aPass.mNow);
  }
}

SubmissionCheck
MeterSubmission(CellState& aState,
                const PendingCaller& aCaller,
                const CellRequest& aRequest,
                Time aNow,
                Effects& aOut)
{
  if (aRequest.Team().IsEmpty() || aState.mConfig.Teams().empty()) {
    return {};
  }
  const auto rate = RateOf(aState, aRequest.Team());
  const auto [it, isNew] = aState.mTeamRates.try_emplace(aRequest.Team());
  auto& row = it->second;
  if (isNew) {
    row.mBucket = FullBucket(rate, aNow);
  }
  const auto* reason = ExcessRefusalReason(aState, aRequest.Queue().Pool(), aNow);
  // The owner's own callers get no larger part of the tokens than those of other nodes.
  const bool isOwnCaller = aCaller.mNode == aState.mNode;
  if (isOwnCaller && reason != nullptr &&
      !ForwardsNext(row.mCredit, row.mDemand.mAdmittedPermille)) {
    return { .mIsExcess = true,
             .mRetryAfter = RefuseExcess(row, aRequest, rate, reason, aNow, aOut) };
  }
  CountArrival(row.mDemand);
  if (TakeToken(row.mBucket, rate, aNow)) {
    return {};
  }
  NoteOverRate(row, aRequest.Team(), rate, reason, aNow, aOut);
  if (reason == nullptr) {
    ++row.mExcessCount;
    return { .mIsExcess = true, .mRetryAfter = std::nullopt };
  }
  return { .mIsExcess = true,
           .mRetryAfter = RefuseExcess(row, aRequest, rate, reason, aNow, aOut) };
}

void
UpdateTeamRates(CellState& aState, Time aNow, Effects& aOut)
{
  const auto interval = aNow - aState.mLastTeamUpdate;
  if (interval < kUpdateInterval) {
    return;
  }
  aState.mLastTeamUpdate = aNow;
  for (auto& [team, row] : aState.mTeamRates) {
    const auto rate = RateOf(aState, team);
    const bool isRefused = row.mRefusedAt > Time() && aNow < row.mRefusedAt + kShortageTime;
    UpdateAdmittedShare(row.mDemand, rate, interval, isRefused);
    if (row.mOverSince == Time::Never() || aNow < row.mOverAt + kWithinRateTime ||
        row.mDemand.mAdmittedPermille < kAllPermille) {
      continue;
    }
    Log(aOut,
        "team.over_rate",
        team.Text(),
        absl::StrCat("over=0 jobs_per_s=",
                     rate,
                     " over_for_ms=",
                     (aNow - row.mOverSince).Milliseconds(),
                     " accepted_in_excess=",
                     row.mExcessCount,
                     " refused=",
                     row.mRefusedCount));
    row.mOverSince = Time::Never();
  }
  std::erase_if(aState.mTeamRates, [](const auto& aEntry) { return IsIdle(aEntry.second); });
}

std::vector<TeamLoad>
LimitedTeams(const CellState& aState)
{
  std::vector<TeamLoad> limited;
  for (const auto& [team, row] : aState.mTeamRates) {
    const auto permille = row.mDemand.mAdmittedPermille;
    if (permille < kAllPermille && FindTeam(aState, team) != nullptr) {
      limited.push_back(TeamLoad::Create({ .mTeam = team, .mAdmittedPermille = permille }).value());
    }
  }
  return limited;
}

bool
HasTeamFarOverRate(const CellState& aState)
{
  return std::any_of(aState.mTeamRates.begin(), aState.mTeamRates.end(), [&](const auto& aEntry) {
    const auto& [team, row] = aEntry;
    const auto rate = static_cast<std::uint64_t>(RateOf(aState, team));
    return row.mOverSince != Time::Never() &&
           row.mExcessCount + row.mRefusedCount >= std::max(rate, kMinFarExcess);
  });
}

std::optional<std::uint64_t>
CountForLog(LogLimit& aLog, Time aNow)
{
  if (aLog.mSince == Time() || aNow >= aLog.mSince + kLogPeriod) {
    aLog.mSince = aNow;
    aLog.mLines = 0;
  }
  if (aLog.mLines >= kLinesPerSecond) {
    ++aLog.mUnlogged;
    return std::nullopt;
  }
  ++aLog.mLines;
  return std::exchange(aLog.mUnlogged, std::uint64_t{ 0 });
}

} // namespace by::detail
