#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/JobCall.h"
#include "by_schema/JobReply.h"

namespace by::detail {

/// Takes a caller's request in: answers it, or hands it to the owner.
void
HandleCall(EntryState& aState, const JobCall& aCall, Time aNow, Effects& aOut);

/// Takes the owner's answer to a caller's request.
void
HandleReply(EntryState& aState, const JobReply& aReply, Effects& aOut);

/// Hands all requests to the owner that wait for one.
void
ForwardCalls(EntryState& aState, Time aNow, Effects& aOut);

/// Takes the requests back that were handed to an owner which is out of reach. They are handed to
/// the next one: a job's name makes a repeated request harmless.
void
RequeueForwardedCalls(EntryState& aState);

/// Answers the requests that waited long enough.
void
ExpireCalls(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
