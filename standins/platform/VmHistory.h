#pragma once

#include <map>

#include "by_core/Time.h"
#include "by_schema/VmList.h"
#include "by_schema/VmListChange.h"

namespace by::standins {

/// The list of VMs with the time of each change, so that readers can be shown an old one.
struct VmHistory
{
  /// The list as it stood from each time on.
  std::map<Time, VmList> mLists;
};

/// Changes the list.
void
Change(VmHistory& aHistory, const VmListChange& aChange, Time aNow);

/// @returns the list as it stood at a time; the first one for any time before it.
VmList
ListAt(const VmHistory& aHistory, Time aWhen);

} // namespace by::standins
