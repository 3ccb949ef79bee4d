#include "platform/VmHistory.h"

#include <algorithm>

namespace by::standins {

void
Change(VmHistory& aHistory, const VmListChange& aChange, Time aNow)
{
  std::map<VmId, VmDescription> vms;
  if (!aHistory.mLists.empty()) {
    for (const auto& vm : aHistory.mLists.rbegin()->second.Vms()) {
      vms.emplace(vm.Vm(), vm);
    }
  }
  for (const auto& vm : aChange.Set()) {
    vms.insert_or_assign(vm.Vm(), vm);
  }
  for (const auto& vm : aChange.Remove()) {
    vms.erase(vm);
  }
  std::vector<VmDescription> rows;
  rows.reserve(vms.size());
  for (const auto& [id, vm] : vms) {
    rows.push_back(vm);
  }
  aHistory.mLists.insert_or_assign(aNow, VmList::Create({ .mVms = std::move(rows) }).value());
}

VmList
ListAt(const VmHistory& aHistory, Time aWhen)
{
  if (aHistory.mLists.empty()) {
    return VmList();
  }
  const auto after = aHistory.mLists.upper_bound(aWhen);
  return after == aHistory.mLists.begin() ? after->second : std::prev(after)->second;
}

} // namespace by::standins
