#pragma once

#include <cstdint>

#include "by_core/Findings.h"
#include "by_schema/JobDefinition.h"

namespace by {

/// @returns how many tasks one occurrence has.
std::uint32_t
CountTasks(const JobDefinition& aDefinition);

/// @returns the index of a step's first task among all tasks of an occurrence.
std::uint32_t
FirstTaskOf(const JobDefinition& aDefinition, std::uint32_t aStep);

/// @returns how many occurrences the job has, at least one.
std::uint32_t
CountOccurrences(const JobDefinition& aDefinition);

/// Adds a finding for each error in a definition, such as a step that follows itself.
void
CheckDefinition(const JobDefinition& aDefinition, Findings& aFindings);

} // namespace by
