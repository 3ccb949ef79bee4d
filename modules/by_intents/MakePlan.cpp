#include "by_intents/MakePlan.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_intents/detail/FoldAssignments.h"
#include "by_intents/detail/ResourceArithmetic.h"

namespace by {

namespace {

/// Why an intent can't run.
struct Refusal
{
  Reason mReason{ Reason::None };
  std::string mDetail;
};

IntentSpec
WithMinimumSlot(const IntentSpec& aSpec)
{
  auto fields = aSpec.ToFields();
  fields.mResources =
    fields.mResources.WithSlots(std::max<std::int64_t>(1, fields.mResources.Slots()));
  return IntentSpec::Create(std::move(fields)).value();
}

std::string
FormatResources(const Resources& aAmount)
{
  return absl::StrCat(aAmount.CpuMillis(),
                      " millicores, ",
                      aAmount.MemoryMb(),
                      " MB, ",
                      aAmount.Accelerators(),
                      " accelerators, ",
                      aAmount.Slots(),
                      " slots");
}

bool
IsNegative(const Resources& aAmount)
{
  return !detail::FitsWithin({}, aAmount);
}

std::vector<Resources>
LiveServerCapacities(const std::vector<VmDescription>& aVms)
{
  std::vector<Resources> servers;
  for (const auto& vm : aVms) {
    if (vm.Role() == VmRole::BackendServer && vm.State() == VmState::Live) {
      servers.push_back(vm.Capacity());
    }
  }
  return servers;
}

/// @returns the largest amount of each resource on any single server.
Resources
LargestAmounts(const std::vector<Resources>& aServers)
{
  Resources largest;
  for (const auto& server : aServers) {
    largest =
      Resources::Create({ .mCpuMillis = std::max(largest.CpuMillis(), server.CpuMillis()),
                          .mMemoryMb = std::max(largest.MemoryMb(), server.MemoryMb()),
                          .mAccelerators = std::max(largest.Accelerators(), server.Accelerators()),
                          .mSlots = std::max(largest.Slots(), server.Slots()) })
        .value();
  }
  return largest;
}

Refusal
CheckCapacity(const IntentSpec& aSpec, const std::vector<Resources>& aServers)
{
  const auto excess = detail::DescribeExcess(aSpec.Resources(), LargestAmounts(aServers));
  if (!excess.empty()) {
    return { Reason::NeverFits,
             absl::StrCat("a task does not fit on any backend server: ", excess) };
  }
  std::int64_t capacity = 0;
  for (const auto& server : aServers) {
    capacity += std::min(detail::TimesContained(aSpec.Resources(), server), aSpec.Tasks());
  }
  if (capacity == 0) {
    return { Reason::NeverFits,
             absl::StrCat("no single backend server has all the resources that a task requests: ",
                          FormatResources(aSpec.Resources())) };
  }
  const bool allAtOnce = aSpec.WorkClass() != WorkClass::Batch;
  if (allAtOnce && capacity < aSpec.Tasks()) {
    return { Reason::NeverFits,
             absl::StrCat(
               "all backend servers together hold ", capacity, " of ", aSpec.Tasks(), " tasks") };
  }
  return {};
}

Refusal
CheckQuota(const IntentSpec& aSpec, const Resources& aQuota)
{
  const bool allAtOnce = aSpec.WorkClass() != WorkClass::Batch;
  const auto requested = detail::Multiply(aSpec.Resources(), allAtOnce ? aSpec.Tasks() : 1);
  if (detail::WithinQuota(requested, aQuota)) {
    return {};
  }
  return { Reason::Quota,
           absl::StrCat("the team's quota is ",
                        FormatResources(aQuota),
                        "; this intent requests ",
                        FormatResources(requested)) };
}

Refusal
CheckSpec(const IntentSpec& aSpec,
          const std::vector<VmDescription>& aVms,
          const ConfigDocument& aConfig)
{
  if (aSpec.WorkClass() == WorkClass::Request) {
    return { Reason::Invalid, "an intent must be a service, a batch or a gang" };
  }
  if (IsNegative(aSpec.Resources())) {
    return { Reason::Invalid, "a task's resources must not be negative" };
  }
  if (aSpec.WorkClass() == WorkClass::Service && !aSpec.Idempotent()) {
    return { Reason::Invalid, "a service restarts its tasks, so they must be idempotent" };
  }
  auto refusal = CheckCapacity(aSpec, LiveServerCapacities(aVms));
  if (refusal.mReason == Reason::None) {
    refusal = CheckQuota(aSpec, detail::QuotaOf(&aConfig, aSpec.Team()));
  }
  return refusal;
}

const char*
WorkClassName(WorkClass aClass)
{
  switch (aClass) {
    case WorkClass::Service:
      return "service";
    case WorkClass::Batch:
      return "batch";
    case WorkClass::Gang:
      return "gang";
    case WorkClass::Request:
      break;
  }
  return "request";
}

std::vector<std::string>
DescribeChanges(const IntentSpec& aSpec, const Resources& aCommitted)
{
  const auto requested = detail::Multiply(aSpec.Resources(), aSpec.Tasks());
  return {
    absl::StrCat("start ",
                 WorkClassName(aSpec.WorkClass()),
                 " ",
                 aSpec.Name(),
                 " with ",
                 aSpec.Tasks(),
                 " tasks, each with ",
                 FormatResources(aSpec.Resources())),
    absl::StrCat("intents of team ",
                 aSpec.Team().Text(),
                 " take up to ",
                 FormatResources(detail::Add(aCommitted, requested)),
                 " instead of ",
                 FormatResources(aCommitted)),
  };
}

} // namespace

Plan
MakePlan(const IntentTable& aTable,
         const IntentSpec& aSpec,
         const IntentId& aIntentId,
         const std::vector<VmDescription>& aVms,
         const ConfigDocument& aConfig,
         Time aNow,
         Time aExpiry)
{
  const auto spec = WithMinimumSlot(aSpec);
  const auto team = aTable.mTeams.find(spec.Team());
  const auto usage = team == aTable.mTeams.end() ? TeamUsage() : team->second;
  auto refusal = CheckSpec(spec, aVms, aConfig);
  const bool feasible = refusal.mReason == Reason::None;
  return Plan::Create({ .mIntent = aIntentId,
                        .mSpec = spec,
                        .mBaseVersion = usage.mVersion,
                        .mExpires = aNow + aExpiry,
                        .mChanges = feasible ? DescribeChanges(spec, usage.mCommitted)
                                             : std::vector<std::string>{},
                        .mFeasible = feasible,
                        .mReason = refusal.mReason,
                        .mDetail = std::move(refusal.mDetail) })
    .value();
}

} // namespace by
