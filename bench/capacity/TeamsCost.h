#pragma once

#include <cstddef>

namespace by {

/// What a configuration with teams costs a node.
struct TeamsCost
{
  /// Size of the configuration on a link between nodes. [bytes]
  std::size_t mMessageBytes{ 0 };
  /// Time to read it from a link, and to make it the one in force with its table of keys. [ms]
  double mDecodeMilliseconds{ 0 };
  double mChangeMilliseconds{ 0 };
  /// Time to find the team of a key, or that there is none. [us]
  double mKnownKeyMicroseconds{ 0 };
  double mUnknownKeyMicroseconds{ 0 };
  /// Time in which the owner of a cell samples the teams for its metrics. [ms]
  double mSampleMilliseconds{ 0 };
  /// Memory of the configuration and its table of keys. [bytes]
  std::size_t mHeapBytes{ 0 };
};

/// @param aRuns runs of the cell whose owner samples the teams.
TeamsCost
MeasureTeams(int aTeams, int aKeysATeam, int aRuns);

} // namespace by
