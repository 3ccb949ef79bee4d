#include "by_log_state/ApplyRackRecords.h"

#include "by_log_state/RackOwners.h"
#include "by_schema/RackClaim.h"
#include "by_schema/RackRelease.h"

namespace by {

namespace {

NodeProcess
ProcessOf(const RackOwner& aRow)
{
  return NodeProcess::Create({ .mNode = aRow.Node(), .mIncarnation = aRow.Incarnation() }).value();
}

} // namespace

bool
ApplyRackClaim(RackOwners& aOwners, const RackClaim& aClaim, Time aAt)
{
  const auto it = aOwners.mRows.find(aClaim.Rack());
  const bool isFirst = it == aOwners.mRows.end();
  const auto epoch = isFirst ? 0 : it->second.Epoch();
  if (aClaim.PreviousEpoch() != epoch) {
    return false;
  }
  const bool released = isFirst || it->second.Node().IsEmpty();
  PutRackOwner(aOwners,
               RackOwner::Create({ .mRack = aClaim.Rack(),
                                   .mNode = aClaim.Node(),
                                   .mIncarnation = aClaim.Incarnation(),
                                   .mEpoch = epoch + 1,
                                   .mSince = aAt,
                                   .mReleased = released })
                 .value());
  return true;
}

bool
ApplyRackRelease(RackOwners& aOwners, const RackRelease& aRelease, Time aAt)
{
  const auto it = aOwners.mRows.find(aRelease.Rack());
  if (it == aOwners.mRows.end() || it->second.Node() != aRelease.Node() ||
      it->second.Incarnation() != aRelease.Incarnation() ||
      it->second.Epoch() != aRelease.Epoch()) {
    return false;
  }
  PutRackOwner(aOwners,
               it->second.WithNode({}).WithIncarnation(0).WithSince(aAt).WithReleased(true));
  return true;
}

void
PutRackOwner(RackOwners& aOwners, const RackOwner& aRow)
{
  auto& row = aOwners.mRows[aRow.Rack()];
  const auto old = aOwners.mByProcess.find(ProcessOf(row));
  if (old != aOwners.mByProcess.end()) {
    old->second.erase(aRow.Rack());
    if (old->second.empty()) {
      aOwners.mByProcess.erase(old);
    }
  }
  row = aRow;
  aOwners.mByProcess[ProcessOf(aRow)].insert(aRow.Rack());
}

} // namespace by
