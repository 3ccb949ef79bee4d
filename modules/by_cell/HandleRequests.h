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

/// @returns whether calls about unknown jobs wait for a confirmation of the claim.
bool
AwaitsClaimConfirmation(const CellState& aState);

/// Answers the calls about unknown jobs that arrived before the claim was last confirmed, and
/// refuses those that have waited too long.
void
AnswerUnknownJobQueries(CellState& aState, Time aNow, Effects& aOut);

/// Removes the callers behind a lost link of a node that wait until something is stored; that node
/// answers them itself, or forwards their calls again.
void
ForgetCallers(CellState& aState, const std::string& aNode, std::uint64_t aLink);

} // namespace by
