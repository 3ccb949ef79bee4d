#include "by_intents/IntentRows.h"

#include <algorithm>

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/TaskIndex.h"

namespace by {

namespace {

IntentRow
RowOf(const FoldedIntent& aIntent)
{
  const auto& progress = aIntent.mProgress;
  return IntentRow::Create({ .mPlan = aIntent.mPlan,
                             .mConfirmed = progress.Confirmed(),
                             .mState = progress.State(),
                             .mRound = progress.Round(),
                             .mGangStarted = progress.GangStarted(),
                             .mTasks = aIntent.mTasks,
                             .mFailures = progress.Failures(),
                             .mSince = progress.Since(),
                             .mGangBroken = progress.GangBroken(),
                             .mRoundSince = progress.RoundSince(),
                             .mDetail = progress.Detail() })
    .value();
}

FoldedIntent
IntentOf(const IntentRow& aRow)
{
  FoldedIntent intent;
  intent.mPlan = aRow.Plan();
  intent.mProgress = IntentProgress::Create({ .mConfirmed = aRow.Confirmed(),
                                              .mState = aRow.State(),
                                              .mRound = aRow.Round(),
                                              .mGangStarted = aRow.GangStarted(),
                                              .mGangBroken = aRow.GangBroken(),
                                              .mFailures = aRow.Failures(),
                                              .mSince = aRow.Since(),
                                              .mRoundSince = aRow.RoundSince(),
                                              .mDetail = aRow.Detail() })
                       .value();
  intent.mTasks = aRow.Tasks();
  return intent;
}

} // namespace

std::vector<IntentRow>
IntentRows(const IntentTable& aTable)
{
  std::vector<IntentRow> rows;
  rows.reserve(aTable.mIntents.size());
  for (const auto& [id, intent] : aTable.mIntents) {
    rows.push_back(RowOf(intent));
  }
  std::sort(rows.begin(), rows.end(), [](const IntentRow& aLeft, const IntentRow& aRight) {
    return aLeft.Plan().Intent() < aRight.Plan().Intent();
  });
  return rows;
}

std::vector<TeamVersion>
TeamVersions(const IntentTable& aTable)
{
  std::vector<TeamVersion> versions;
  for (const auto& [team, usage] : aTable.mTeams) {
    if (usage.mVersion > 0) {
      versions.push_back(
        TeamVersion::Create({ .mTeam = team, .mVersion = usage.mVersion }).value());
    }
  }
  std::sort(versions.begin(), versions.end());
  return versions;
}

IntentTable
IntentTableFrom(const std::vector<IntentRow>& aRows, const std::vector<TeamVersion>& aVersions)
{
  IntentTable table;
  for (const auto& version : aVersions) {
    table.mTeams[version.Team()].mVersion = version.Version();
  }
  for (const auto& row : aRows) {
    const auto& plan = row.Plan();
    auto& intent = table.mIntents[plan.Intent()] = IntentOf(row);
    detail::IndexIntent(table, intent);
    if (!row.Confirmed() && !detail::HasEnded(intent)) {
      table.mPlans.emplace(plan.Expires() + kPlanRetention, plan.Intent());
      ++table.mTeams[plan.Spec().Team()].mPlans;
    }
  }
  return table;
}

} // namespace by
