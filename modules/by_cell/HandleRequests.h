#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/CellRequest.h"

namespace by {

/// Decides on a caller's request. The answer is among the effects of this call or of a later one,
/// once the store holds what it promises.
/// @param aCaller the caller, by the node that holds it.
void
HandleRequest(CellState& aState,
              const PendingCaller& aCaller,
              const CellRequest& aRequest,
              Time aNow,
              Effects& aOut);

/// Forgets the callers that a node held; the node answers them itself.
void
ForgetCallers(CellState& aState, const std::string& aNode);

} // namespace by
