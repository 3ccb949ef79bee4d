#include "backend_server/BackendYard.h"

#include "absl/strings/str_cat.h"

#include "by_json/generated/backend_json.h"
#include "by_json/generated/standins_json.h"
#include "common/Answers.h"

namespace by::standins {

namespace {

constexpr std::int64_t kControlConnections = 1000;

BackendCounters
Sum(const BackendCounters& aLeft, const BackendCounters& aRight)
{
  auto runs = aLeft.NonIdempotentRuns();
  runs.insert(runs.end(), aRight.NonIdempotentRuns().begin(), aRight.NonIdempotentRuns().end());
  return BackendCounters::Create(
           { .mStarted = aLeft.Started() + aRight.Started(),
             .mFenced = aLeft.Fenced() + aRight.Fenced(),
             .mOvercommitted = aLeft.Overcommitted() + aRight.Overcommitted(),
             .mDoubled = aLeft.Doubled() + aRight.Doubled(),
             .mRunning = aLeft.Running() + aRight.Running(),
             .mNonIdempotentRuns = std::move(runs),
             .mRefusedConnections = aLeft.RefusedConnections() + aRight.RefusedConnections() })
    .value();
}

} // namespace

absl::StatusOr<std::unique_ptr<BackendYard>>
BackendYard::Create(boost::asio::io_context& aContext, const BackendStandinSettings& aSettings)
{
  std::unique_ptr<BackendYard> yard(new BackendYard());
  for (const auto& vm : aSettings.Vms()) {
    auto service = BackendService::Create(aContext, vm);
    if (!service.ok()) {
      return absl::UnavailableError(
        absl::StrCat(vm.Vm().Text(), ": ", std::string(service.status().message())));
    }
    yard->mServices.emplace(vm.Vm(), *std::move(service));
  }
  auto handle = [raw = yard.get()](const WebRequest& aIncoming,
                                   const std::shared_ptr<WebSession>& aSession) {
    raw->OnCall(aIncoming, aSession);
  };
  auto control =
    WebServer::Create(aContext, aSettings.Control(), CapacityOf(kControlConnections), handle);
  if (!control.ok()) {
    return control.status();
  }
  yard->mControl = *std::move(control);
  return yard;
}

BackendStandinSettings
BackendYard::Settings() const
{
  std::vector<BackendVmSettings> vms;
  for (const auto& [vm, service] : mServices) {
    vms.push_back(service->Settings());
  }
  return BackendStandinSettings::Create(
           { .mVms = std::move(vms), .mControl = mControl->Listening() })
    .value();
}

void
BackendYard::OnCall(const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession)
{
  const auto it = aIncoming.mQuery.find("vm");
  const auto vm = it == aIncoming.mQuery.end() ? std::string() : it->second;
  if (!vm.empty() && !mServices.contains(VmId(vm))) {
    AnswerError(aSession, kNotFound, "no such VM");
  } else if (aIncoming.mPath == "/v1/counters") {
    AnswerWith(aSession, CountersOver(vm));
  } else if (aIncoming.mPath == "/v1/switch") {
    OnSwitch(aIncoming, aSession, vm);
  } else {
    AnswerError(aSession, kNotFound, "no such path");
  }
}

void
BackendYard::OnSwitch(const WebRequest& aIncoming,
                      const std::shared_ptr<WebSession>& aSession,
                      const std::string& aVm)
{
  BackendSwitch turned;
  if (!ReadOrRefuse(aIncoming, aSession, turned)) {
    return;
  }
  for (auto& [vm, service] : mServices) {
    if (!aVm.empty() && vm != VmId(aVm)) {
      continue;
    }
    const auto status = service->Turn(turned);
    if (!status.ok()) {
      AnswerError(aSession, kBadRequest, std::string(status.message()));
      return;
    }
  }
  AnswerWith(aSession, turned);
}

BackendCounters
BackendYard::CountersOver(const std::string& aVm) const
{
  BackendCounters sum;
  for (const auto& [vm, service] : mServices) {
    if (aVm.empty() || vm == VmId(aVm)) {
      sum = Sum(sum, service->Counters());
    }
  }
  return sum;
}

} // namespace by::standins
