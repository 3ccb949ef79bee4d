#include "by_node/DumpState.h"

#include "by_node/detail/Dump.h"
#include "by_node/detail/StepWork.h"

namespace by {

StateDump
DumpState(const NodeState& aState, Time aNow)
{
  return detail::DumpOf(aState, aNow, true);
}

} // namespace by
