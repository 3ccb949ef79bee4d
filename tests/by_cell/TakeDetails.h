#pragma once

#include <string>
#include <vector>

#include "by_cell/TakeAll.h"

namespace by {

/// Removes the log lines from a list of effects.
/// @returns the details of those with an event.
inline std::vector<std::string>
TakeDetails(Effects& aOut, const std::string& aEvent)
{
  std::vector<std::string> details;
  for (const auto& line : TakeAll<LogLine>(aOut)) {
    if (line.Event() == aEvent) {
      details.push_back(line.Detail());
    }
  }
  return details;
}

} // namespace by
