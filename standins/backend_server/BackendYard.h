#pragma once

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "backend_server/BackendService.h"
#include "by_schema/BackendStandinSettings.h"

namespace by::standins {

/// Many backend server stand-ins in one process, with one port for their switches and counters.
class BackendYard
{
public:
  /// Starts all VMs.
  /// @returns the yard, or the error of the first port that can't be had.
  static absl::StatusOr<std::unique_ptr<BackendYard>> Create(
    boost::asio::io_context& aContext,
    const BackendStandinSettings& aSettings);

  /// @returns the settings with the ports that they listen on.
  BackendStandinSettings Settings() const;

private:
  BackendYard() = default;

  void OnCall(const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession);
  void OnSwitch(const WebRequest& aIncoming,
                const std::shared_ptr<WebSession>& aSession,
                const std::string& aVm);
  BackendCounters CountersOver(const std::string& aVm) const;

  std::map<VmId, std::unique_ptr<BackendService>> mServices;
  std::shared_ptr<WebServer> mControl;
};

} // namespace by::standins
