#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_client/HttpClient.h"
#include "by_schema/BackendClientSettings.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/SendCommand.h"
#include "by_schema/SendLease.h"
#include "by_schema/SendStart.h"

namespace by {

/// Asks backend servers for leases, starts tasks on them and acts on running tasks.
///
/// Leases, starts and commands have connections of their own, so that none waits behind another
/// kind. Everything runs on the thread that runs the io_context; deliver is called there.
class BackendClient
{
public:
  /// Takes the events that come of the calls.
  using Deliver = std::function<void(NodeEvent)>;

  /// Builds a client.
  /// @param aContext runs the client; outlives it.
  /// @returns the client, or InvalidArgument for settings out of their bounds.
  static absl::StatusOr<std::unique_ptr<BackendClient>> Create(
    boost::asio::io_context& aContext,
    const BackendClientSettings& aSettings,
    Deliver aDeliver);

  /// Asks for a lease; LeaseAnswered or LeaseFailed follows.
  void Lease(const SendLease& aSend);

  /// Starts a task; TaskAnswered or TaskUnanswered follows.
  void Start(const SendStart& aSend);

  /// Acts on a task; nothing follows.
  void Command(const SendCommand& aSend);

  /// Ends all calls; nothing is delivered after it.
  void Stop();

private:
  BackendClient(const BackendClientSettings& aSettings, Deliver aDeliver);

  void DeliverBody(decltype(NodeEvent::Fields::mBody) aBody);

  BackendClientSettings mSettings;
  Deliver mDeliver;
  std::unique_ptr<HttpClient> mLeases;
  std::unique_ptr<HttpClient> mStarts;
  std::unique_ptr<HttpClient> mCommands;
};

} // namespace by
