#include "by_settings/CheckSettings.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include <arpa/inet.h>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace by {

namespace {

constexpr std::array<std::string_view, 5> kLogLevels{ "trace", "debug", "info", "warn", "error" };
constexpr std::string_view kLoopback = "127.";

bool
IsIpNumber(const std::string& aAddress)
{
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, aAddress.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, aAddress.c_str(), address.data()) == 1;
}

void
CheckAddress(const Endpoint& aEndpoint, const std::string& aPlace, Findings& aFindings)
{
  if (!aEndpoint.Address().empty() && !IsIpNumber(aEndpoint.Address())) {
    aFindings.Add(aPlace + ".address", aEndpoint.Address() + " is not an IP number");
  }
}

/// Checks an endpoint that others listen on.
void
CheckRemote(const Endpoint& aEndpoint, const std::string& aPlace, Findings& aFindings)
{
  CheckAddress(aEndpoint, aPlace, aFindings);
  if (aEndpoint.Address().empty()) {
    aFindings.Add(aPlace + ".address", "is empty");
  }
  if (aEndpoint.Port() == 0) {
    aFindings.Add(aPlace + ".port", "is not set");
  }
}

void
CheckPeers(const NodeSettings& aSettings, Findings& aFindings)
{
  absl::flat_hash_set<std::string> names{ aSettings.Node().Text() };
  absl::flat_hash_set<std::string> endpoints;
  for (std::size_t i = 0; i < aSettings.Peers().size(); ++i) {
    const auto& peer = aSettings.Peers()[i];
    const auto place = absl::StrCat("peers[", i, "]");
    const auto& name = peer.Node().Text();
    if (!name.empty() && !names.insert(name).second) {
      aFindings.Add(place + ".node",
                    name == aSettings.Node().Text() ? name + " is this node itself"
                                                    : name + " is listed twice");
    }
    CheckRemote(peer.Wire(), place + ".wire", aFindings);
    const auto endpoint = absl::StrCat(peer.Wire().Address(), ":", peer.Wire().Port());
    if (peer.Wire().Port() != 0 && !endpoints.insert(endpoint).second) {
      aFindings.Add(place + ".wire", endpoint + " is another peer's");
    }
  }
}

/// Adds a finding unless one span is longer than another.
void
CheckLonger(Time aSpan,
            std::string_view aPlace,
            Time aOther,
            std::string_view aOtherName,
            Findings& aFindings)
{
  if (aSpan <= aOther) {
    aFindings.Add(std::string(aPlace),
                  absl::StrCat(aSpan.Milliseconds(),
                               " ms is not longer than ",
                               std::string(aOtherName),
                               ", ",
                               aOther.Milliseconds(),
                               " ms"));
  }
}

void
CheckCluster(const ClusterSettings& aCluster, Findings& aFindings)
{
  CheckLonger(aCluster.SuspectAfter(),
              "cluster.suspect_after",
              aCluster.HeartbeatInterval(),
              "heartbeat_interval",
              aFindings);
  CheckLonger(aCluster.LeaseTtl(),
              "cluster.lease_ttl",
              aCluster.LeaseRenewal() * 2,
              "two of lease_renewal",
              aFindings);
  CheckLonger(aCluster.LeaseTtl(),
              "cluster.lease_ttl",
              aCluster.ClockDrift() * 2,
              "two of clock_drift",
              aFindings);
}

void
CheckHttp(const HttpSettings& aHttp, Findings& aFindings)
{
  CheckAddress(aHttp.Listen(), "http.listen", aFindings);
  const auto& address = aHttp.Listen().Address();
  const bool isLocal = address.empty() || address.starts_with(kLoopback) || address == "::1";
  if (!isLocal && aHttp.OperatorToken() == HttpSettings().OperatorToken()) {
    aFindings.Add("http.operator_token", "is the default, which everybody knows");
  }
}

void
CheckTelemetry(const TelemetrySettings& aTelemetry, Findings& aFindings)
{
  const auto& level = aTelemetry.LogLevel();
  if (std::find(kLogLevels.begin(), kLogLevels.end(), level) == kLogLevels.end()) {
    aFindings.Add("telemetry.log_level", level + " is not trace, debug, info, warn or error");
  }
}

} // namespace

void
CheckSettings(const NodeSettings& aSettings, Findings& aFindings)
{
  if (aSettings.Zone().IsEmpty()) {
    aFindings.Add("zone", "is empty");
  }
  CheckAddress(aSettings.Wire(), "wire", aFindings);
  CheckPeers(aSettings, aFindings);
  CheckHttp(aSettings.Http(), aFindings);
  CheckRemote(aSettings.Platform().Endpoint(), "platform.endpoint", aFindings);
  CheckCluster(aSettings.Cluster(), aFindings);
  CheckTelemetry(aSettings.Telemetry(), aFindings);
}

} // namespace by
