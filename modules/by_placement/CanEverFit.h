#pragma once

#include <string>
#include <vector>

#include "by_core/Identifier.h"
#include "by_placement/FitReport.h"
#include "by_placement/VmTable.h"
#include "by_schema/Resources.h"
#include "by_schema/VmDescription.h"

namespace by {

/// @returns whether a task could run on one of the VMs if it were empty. VMs that are not live
/// backend servers do not count.
FitReport
CanEverFit(const std::vector<VmDescription>& aVms, const Resources& aDeclared);

/// @param aRack only VMs of this rack count; empty for all racks.
/// @returns whether a task could run on one of the table's VMs if it were empty. VMs that are
/// leaving do not count.
FitReport
CanEverFit(const VmTable& aTable, const RackId& aRack, const Resources& aDeclared);

/// @returns the missing resource with the requested and offered amounts, for error messages; empty
/// if the work fits.
std::string
Describe(const FitReport& aReport);

} // namespace by
