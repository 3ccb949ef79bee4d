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

/// Removes the callers behind a lost link of a node that wait until something is stored; that node
/// answers them itself, or forwards their calls again.
void
ForgetCallers(CellState& aState, const std::string& aNode, std::uint64_t aLink);

} // namespace by
