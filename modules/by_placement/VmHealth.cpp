#include "by_placement/VmHealth.h"

#include <algorithm>

#include "by_placement/VmCapacity.h"

namespace by {

void
RecordFailure(VmTable& aTable, const VmId& aVm, Time aNow)
{
  const auto it = aTable.mRows.find(aVm);
  if (it == aTable.mRows.end() || it->second.QuarantinedUntil() != Time()) {
    return;
  }
  auto fields = it->second.ToFields();
  ++fields.mFailures;
  if (fields.mProbing || fields.mFailures >= kFailuresToQuarantine) {
    fields.mBackoff = std::clamp(fields.mBackoff * 2, kInitialBackoff, kMaxBackoff);
    fields.mQuarantinedUntil = aNow + fields.mBackoff;
    fields.mProbing = false;
  }
  ReplaceVm(aTable, VmRow::Create(std::move(fields)).value());
}

void
RecordSuccess(VmTable& aTable, const VmId& aVm)
{
  const auto it = aTable.mRows.find(aVm);
  if (it == aTable.mRows.end() || (it->second.Failures() == 0 && !it->second.Probing())) {
    return;
  }
  auto fields = it->second.ToFields();
  fields.mFailures = 0;
  fields.mProbing = false;
  fields.mBackoff = Time();
  fields.mQuarantinedUntil = Time();
  ReplaceVm(aTable, VmRow::Create(std::move(fields)).value());
}

bool
EndQuarantines(VmTable& aTable, Time aNow)
{
  bool any = false;
  while (!aTable.mQuarantined.empty() && aTable.mQuarantined.begin()->first <= aNow) {
    const auto vm = aTable.mQuarantined.begin()->second;
    auto fields = aTable.mRows.at(vm).ToFields();
    fields.mQuarantinedUntil = Time();
    fields.mProbing = true;
    ReplaceVm(aTable, VmRow::Create(std::move(fields)).value());
    any = true;
  }
  return any;
}

} // namespace by
