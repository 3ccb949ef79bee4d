#pragma once

#include <string>

namespace by {

struct JobTrace;

/// Writes a trace for people: the outcome, the stages with their times, the reasons, and the
/// records.
/// @param aIsBrief whether the records are left out.
std::string
FormatTrace(const JobTrace& aTrace, bool aIsBrief);

/// Writes a trace as one JSON object.
std::string
FormatTraceJson(const JobTrace& aTrace);

} // namespace by
