#pragma once

#include "by_core/Identifier.h"
#include "by_placement/VmTable.h"
#include "by_schema/Resources.h"
#include "by_schema/VmRow.h"

namespace by {

/// @returns the capacity of a VM that is neither committed nor used in excess; negative if it is
/// overcommitted.
Resources
FreeCapacityOf(const VmRow& aRow);

/// @returns whether a task may be placed on the VM now.
bool
IsAvailable(const VmRow& aRow);

/// Adds a VM or replaces its row, and updates all indexes.
void
ReplaceVm(VmTable& aTable, VmRow aRow);

/// Removes a VM from the table and its indexes, if it is there.
void
EraseVm(VmTable& aTable, const VmId& aVm);

/// Commits resources on a VM, which must be in the table. The caller has checked that they fit, or
/// adopts a task that is running.
/// @param aSpreadGroup the service that the task is a replica of; empty for none.
void
CommitResources(VmTable& aTable,
                const VmId& aVm,
                const Resources& aDemand,
                const std::string& aSpreadGroup);

/// Releases resources on a VM. Does nothing if the VM is no longer in the table.
void
ReleaseResources(VmTable& aTable,
                 const VmId& aVm,
                 const Resources& aDemand,
                 const std::string& aSpreadGroup);

} // namespace by
