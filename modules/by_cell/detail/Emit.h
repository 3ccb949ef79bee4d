#pragma once

#include <string>
#include <utility>
#include <vector>

#include "by_cell/Effects.h"
#include "by_cell/PendingCaller.h"
#include "by_cell/RunId.h"
#include "by_schema/JobReply.h"

namespace by {

struct CellState;

namespace detail {

/// Appends an effect with the given body.
template<class Body>
void
Emit(Effects& aOut, Body aBody)
{
  aOut.push_back(EntryEffect::Create({ .mBody = std::move(aBody) }).value());
}

/// Appends a log line as an effect.
void
Log(Effects& aOut, std::string aEvent, std::string aSubject, std::string aDetail);

/// @returns a run as log lines name it, JOB.OCCURRENCE.STEP.INDEX#RUN.
std::string
FormatRunId(const RunId& aRun);

/// Replies to a caller, through the node that holds its connection.
void
Reply(const CellState& aState,
      const PendingCaller& aCaller,
      JobReply::Fields aReply,
      Effects& aOut);

/// Replies to a caller that its job is refused, so that it never runs, and when to retry.
void
ReplyRefused(const CellState& aState,
             const PendingCaller& aCaller,
             Time aRetryAfter,
             Effects& aOut);

} // namespace detail

} // namespace by
