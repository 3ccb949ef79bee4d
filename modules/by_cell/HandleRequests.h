#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/CellRequest.h"

namespace by {

/// Handles a caller's request. The reply is among the effects of this call or of a later one, once
/// the store holds what the reply promises.
/// @param aCaller the caller, and the node that holds its connection.
void
HandleRequest(CellState& aState,
              const PendingCaller& aCaller,
              const CellRequest& aRequest,
              Time aNow,
              Effects& aOut);

/// Removes a lost node's submitters from the jobs that are not yet in an append; that node answers
/// them itself.
void
ForgetCallers(CellState& aState, const std::string& aNode);

} // namespace by
