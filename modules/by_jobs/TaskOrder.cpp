#include "by_jobs/TaskOrder.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace by {

std::uint32_t
CountTasks(const JobDefinition& aDefinition)
{
  return FirstTaskOf(aDefinition, static_cast<std::uint32_t>(aDefinition.Steps().size()));
}

std::uint32_t
FirstTaskOf(const JobDefinition& aDefinition, std::uint32_t aStep)
{
  std::uint32_t n = 0;
  for (std::uint32_t i = 0; i < aStep; ++i) {
    n += aDefinition.Steps()[i].Count();
  }
  return n;
}

std::uint32_t
CountOccurrences(const JobDefinition& aDefinition)
{
  return std::max<std::uint32_t>(1, aDefinition.Occurrences());
}

void
CheckDefinition(const JobDefinition& aDefinition, Findings& aFindings)
{
  if (aDefinition.Steps().empty()) {
    aFindings.Add("steps", "a job needs at least one step");
  }
  for (std::size_t i = 0; i < aDefinition.Steps().size(); ++i) {
    for (const auto earlier : aDefinition.Steps()[i].After()) {
      if (earlier >= i) {
        aFindings.Add(absl::StrCat("steps[", i, "].after"), "must name earlier steps only");
      }
    }
  }
}

} // namespace by
