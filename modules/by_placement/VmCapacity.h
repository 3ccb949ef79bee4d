#pragma once

#include "by_core/Identifier.h"
#include "by_placement/VmTable.h"
#include "by_schema/Resources.h"
#include "by_schema/VmRow.h"

namespace by {

/// @returns what the VM has left; negative where it holds more than it offers.
Resources
FreeCapacityOf(const VmRow& aRow);

/// @returns whether the VM may get a task now.
bool
IsAvailable(const VmRow& aRow);

/// Puts a row in the place of the VM's old one, or adds it, and keeps all indexes current.
void
ReplaceVm(VmTable& aTable, VmRow aRow);

/// Takes a VM out of the table.
void
EraseVm(VmTable& aTable, const VmId& aVm);

/// Commits room on a VM of the table; the caller has found that it fits, or adopts what runs.
/// @param aSpreadGroup the service it is a replica of; empty for none.
void
CommitResources(VmTable& aTable,
                const VmId& aVm,
                const Resources& aDemand,
                const std::string& aSpreadGroup);

/// Gives room back. A VM that is no longer in the table is left alone.
void
ReleaseResources(VmTable& aTable,
                 const VmId& aVm,
                 const Resources& aDemand,
                 const std::string& aSpreadGroup);

} // namespace by
