#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/ClusterSettings.h"
#include "by_schema/Endpoint.h"
#include "by_schema/HttpSettings.h"
#include "by_schema/PeerSettings.h"
#include "by_schema/PlatformSettings.h"
#include "by_schema/RequestSettings.h"
#include "by_schema/TelemetrySettings.h"

namespace by {

/// Settings of bergamotyardd.
class NodeSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{ NodeId("node") };
    /// Availability zone of the node.
    ZoneId mZone{};
    /// Region of the node.
    std::string mRegion{};
    /// Endpoint for heartbeats over UDP and frames over TCP from other entry nodes.
    Endpoint mWire{};
    /// Other entry nodes.
    std::vector<PeerSettings> mPeers{};
    /// HTTP interface for callers and operators.
    HttpSettings mHttp{};
    /// Connection to the platform.
    PlatformSettings mPlatform{};
    /// Membership and ownership.
    ClusterSettings mCluster{};
    /// Retries and limits of requests.
    RequestSettings mRequests{};
    /// Logs and metrics.
    TelemetrySettings mTelemetry{};
    /// Number of threads for traffic.
    std::int64_t mTrafficThreads{ 2 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }

  /// Availability zone of the node.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] NodeSettings WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Region of the node.
  const std::string& Region() const { return mFields.mRegion; }
  /// @returns a copy of this value with another Region.
  [[nodiscard]] NodeSettings WithRegion(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegion = std::move(aValue);
    return copy;
  }

  /// Endpoint for heartbeats over UDP and frames over TCP from other entry nodes.
  const Endpoint& Wire() const { return mFields.mWire; }
  /// @returns a copy of this value with another Wire.
  [[nodiscard]] NodeSettings WithWire(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mWire = std::move(aValue);
    return copy;
  }

  /// Other entry nodes.
  const std::vector<PeerSettings>& Peers() const { return mFields.mPeers; }
  /// @returns a copy of this value with another Peers.
  [[nodiscard]] NodeSettings WithPeers(std::vector<PeerSettings> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeers = std::move(aValue);
    return copy;
  }

  /// HTTP interface for callers and operators.
  const HttpSettings& Http() const { return mFields.mHttp; }
  /// @returns a copy of this value with another Http.
  [[nodiscard]] NodeSettings WithHttp(HttpSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mHttp = std::move(aValue);
    return copy;
  }

  /// Connection to the platform.
  const PlatformSettings& Platform() const { return mFields.mPlatform; }
  /// @returns a copy of this value with another Platform.
  [[nodiscard]] NodeSettings WithPlatform(PlatformSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlatform = std::move(aValue);
    return copy;
  }

  /// Membership and ownership.
  const ClusterSettings& Cluster() const { return mFields.mCluster; }
  /// @returns a copy of this value with another Cluster.
  [[nodiscard]] NodeSettings WithCluster(ClusterSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mCluster = std::move(aValue);
    return copy;
  }

  /// Retries and limits of requests.
  const RequestSettings& Requests() const { return mFields.mRequests; }
  /// @returns a copy of this value with another Requests.
  [[nodiscard]] NodeSettings WithRequests(RequestSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequests = std::move(aValue);
    return copy;
  }

  /// Logs and metrics.
  const TelemetrySettings& Telemetry() const { return mFields.mTelemetry; }
  /// @returns a copy of this value with another Telemetry.
  [[nodiscard]] NodeSettings WithTelemetry(TelemetrySettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mTelemetry = std::move(aValue);
    return copy;
  }

  /// Number of threads for traffic.
  std::int64_t TrafficThreads() const { return mFields.mTrafficThreads; }

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
  friend auto operator<=>(const NodeSettings&, const NodeSettings&) = default;

private:
  explicit NodeSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
