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

/// Adds an effect.
template<class Body>
void
Emit(Effects& aOut, Body aBody)
{
  aOut.push_back(EntryEffect::Create({ .mBody = std::move(aBody) }).value());
}

/// Adds a line for the log.
void
Log(Effects& aOut, std::string aEvent, std::string aSubject, std::string aDetail);

/// @returns a run in the form of log lines, JOB.OCCURRENCE.STEP.INDEX#RUN.
std::string
FormatRunId(const RunId& aRun);

/// Answers a caller, through the node that holds it.
void
Reply(const CellState& aState,
      const PendingCaller& aCaller,
      JobReply::Fields aReply,
      Effects& aOut);

/// Tells a caller that its job was not stored and will not be, and when to come back.
void
ReplyRefused(const CellState& aState, const PendingCaller& aCaller, Effects& aOut);

} // namespace detail

} // namespace by
