#include "by_placement/CanEverFit.h"

#include "absl/strings/str_cat.h"

#include "by_placement/ResourceMath.h"
#include "by_schema/VmRole.h"
#include "by_schema/VmState.h"

namespace by {

namespace {

/// The demand of a task and the best capacities found for it so far.
struct FitSearch
{
  Resources mDemand{};
  Resources mLargest{};
  Resources mNearest{};
  bool mFits{ false };
};

/// @returns the number of resource kinds of which the capacity offers too little.
std::size_t
CountMissing(const Resources& aDemand, const Resources& aCapacity)
{
  const auto demand = AmountsOf(aDemand);
  const auto offered = AmountsOf(aCapacity);
  std::size_t missing = 0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    missing += demand[i] > offered[i] ? 1 : 0;
  }
  return missing;
}

void
CompareCapacity(FitSearch& aSearch, const Resources& aCapacity)
{
  aSearch.mFits = aSearch.mFits || Fits(aSearch.mDemand, aCapacity);
  aSearch.mLargest = LargerOf(aSearch.mLargest, aCapacity);
  if (CountMissing(aSearch.mDemand, aCapacity) < CountMissing(aSearch.mDemand, aSearch.mNearest)) {
    aSearch.mNearest = aCapacity;
  }
}

/// Reports the first resource that no VM offers enough of. If each is offered by some VM, reports
/// the first that is missing on the VM with the fewest missing resources.
FitReport
ReportOf(const FitSearch& aSearch)
{
  if (aSearch.mFits) {
    return FitReport{ .mFits = true };
  }
  const bool missingOnEveryVm = CountMissing(aSearch.mDemand, aSearch.mLargest) > 0;
  const auto offered = AmountsOf(missingOnEveryVm ? aSearch.mLargest : aSearch.mNearest);
  const auto demand = AmountsOf(aSearch.mDemand);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (demand[i] > offered[i]) {
      return FitReport{ .mFits = false,
                        .mResource = kResourceNames[i],
                        .mRequested = demand[i],
                        .mOffered = offered[i] };
    }
  }
  return FitReport{};
}

} // namespace

FitReport
CanEverFit(const std::vector<VmDescription>& aVms, const Resources& aDeclared)
{
  FitSearch search{ .mDemand = EffectiveDemandOf(aDeclared) };
  for (const auto& vm : aVms) {
    if (vm.Role() == VmRole::BackendServer && vm.State() == VmState::Live) {
      CompareCapacity(search, vm.Capacity());
    }
  }
  return ReportOf(search);
}

FitReport
CanEverFit(const VmTable& aTable, const RackId& aRack, const Resources& aDeclared)
{
  FitSearch search{ .mDemand = EffectiveDemandOf(aDeclared) };
  if (aRack.IsEmpty()) {
    for (const auto& [capacity, count] : aTable.mShapes) {
      CompareCapacity(search, capacity);
    }
    return ReportOf(search);
  }
  const auto rack = aTable.mByRack.find(aRack);
  if (rack != aTable.mByRack.end()) {
    for (const auto& vm : rack->second) {
      const auto& row = aTable.mRows.at(vm);
      if (!row.Leaving()) {
        CompareCapacity(search, row.Capacity());
      }
    }
  }
  return ReportOf(search);
}

std::string
Describe(const FitReport& aReport)
{
  if (aReport.mFits) {
    return {};
  }
  return absl::StrCat("needs ",
                      aReport.mRequested,
                      " ",
                      aReport.mResource,
                      ", the largest VM offers ",
                      aReport.mOffered);
}

} // namespace by
