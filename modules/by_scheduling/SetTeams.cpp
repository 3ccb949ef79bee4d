#include "by_scheduling/SetTeams.h"

#include "by_sharing/TeamShares.h"

namespace by {

void
SetTeams(Scheduler& aScheduler, const ConfigDocument& aConfig, std::int64_t aAllotmentPermille)
{
  SetTeamShares(aScheduler.mTeams, aConfig, aAllotmentPermille);
  for (const auto& [team, row] : aScheduler.mTeams.mRows) {
    aScheduler.mStaleTeams.insert(team);
  }
  for (const auto& [rack, vms] : aScheduler.mVms.mByRack) {
    aScheduler.mFreedRacks.insert(rack);
  }
}

} // namespace by
