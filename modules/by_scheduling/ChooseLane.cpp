#include "by_scheduling/ChooseLane.h"

namespace by {

Lane
LaneByLength(const WorkItem& aItem, Time aExpected, Time aShortLimit)
{
  if (aItem.Priority() == Priority::Urgent) {
    return Lane::Urgent;
  }
  if (aItem.Priority() == Priority::Deferrable) {
    return Lane::Deferrable;
  }
  const bool isShort = aItem.WorkClass() == WorkClass::Request && aExpected < aShortLimit;
  return isShort ? Lane::Short : Lane::Long;
}

Lane
OneLane(const WorkItem&, Time, Time)
{
  return Lane::Short;
}

} // namespace by
