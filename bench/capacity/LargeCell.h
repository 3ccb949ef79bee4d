#pragma once

namespace by {

/// Processor time of the owner's passes over everything in a cell. [ms]
struct LargeCell
{
  double mRegistryMilliseconds{ 0 };
  double mConfigurationMilliseconds{ 0 };
  double mUrgencyMilliseconds{ 0 };
};

/// Measures a complete list of the registry, a change of the configuration, and an update of the
/// urgency of all steps.
/// @param aJobs open jobs with four steps of ten tasks each, none of them placed.
LargeCell
MeasureLargeCell(int aWorkers, int aJobs);

} // namespace by
