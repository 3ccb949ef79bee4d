#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/FromMember.h"
#include "by_schema/JobCall.h"
#include "by_schema/JobReply.h"

namespace by::detail {

/// Validates a caller's request, then answers it or forwards it to the owner. Without an owner the
/// request waits.
void
HandleCall(EntryState& aState, const JobCall& aCall, Time aNow, Effects& aOut);

/// Removes a call that is answered, and logs it if its caller has waited for long.
void
CloseCall(EntryState& aState, const JobReply& aReply, Time aNow, Effects& aOut);

/// Passes the owner's answer on to the caller; does nothing if the call is no longer open. A
/// request that a node refused because it is not the owner waits for the next one.
void
HandleReply(EntryState& aState, const JobReply& aReply, Time aNow, Effects& aOut);

/// Forwards all waiting requests to the owner if it can be reached.
void
ForwardCalls(EntryState& aState, Time aNow, Effects& aOut);

/// Marks the requests that were forwarded to an unreachable owner as waiting. They are forwarded
/// again to the next owner; the job's name makes a repeated request harmless.
void
RequeueForwardedCalls(EntryState& aState);

/// Handles a request that a member forwarded. A request whose caller no longer waits is dropped
/// without any effect; its node has already answered.
/// @param aMessage the message that holds the request.
void
HandleMemberRequest(EntryState& aState,
                    const FromMember& aMessage,
                    const CellRequest& aRequest,
                    Time aNow,
                    Effects& aOut);

/// Logs how many requests were dropped since the last report.
void
ReportDroppedRequests(EntryState& aState, Time aNow, Effects& aOut);

/// Answers the requests that have reached their deadline or their maximum wait.
void
ExpireCalls(EntryState& aState, Time aNow, Effects& aOut);

/// Answers all open requests without the owner's answer, because the process exits.
void
GiveUpCalls(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
