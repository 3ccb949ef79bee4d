#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

#include "by_core/Finding.h"

namespace by {

/// Collects faults, so that all of them are reported together.
class Findings
{
public:
  /// Adds one fault.
  /// @param aPlace a line, or the path of a key.
  /// @param aProblem one short sentence.
  void Add(std::string aPlace, std::string aProblem);

  /// @returns whether no fault was found.
  bool IsEmpty() const { return mAll.empty(); }

  /// @returns the faults in the order in which they were found.
  const std::vector<Finding>& All() const { return mAll; }

  /// @returns OK, or InvalidArgument with one "place: problem" a line.
  absl::Status ToStatus() const;

private:
  std::vector<Finding> mAll;
};

} // namespace by
