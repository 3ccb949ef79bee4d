#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/statusor.h"

#include "by_client/HttpClient.h"
#include "by_schema/AppendRecords.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/PlatformSettings.h"

namespace by {

/// Appends to the platform's log, follows it, and reads the list of VMs.
///
/// Everything runs on the thread that runs the io_context; deliver is called there.
class PlatformClient
{
public:
  /// Takes the events that come of the calls.
  using Deliver = std::function<void(NodeEvent)>;

  /// Builds a client.
  /// @param aContext runs the client; outlives it.
  /// @returns the client, or InvalidArgument for settings out of their bounds.
  static absl::StatusOr<std::unique_ptr<PlatformClient>> Create(boost::asio::io_context& aContext,
                                                                const PlatformSettings& aSettings,
                                                                Deliver aDeliver);

  /// Appends records, all or none; AppendDone or AppendFailed follows.
  void Append(const AppendRecords& aRecords);

  /// Follows the log from an offset, in place of where it was followed before. Every read gives
  /// LogRead, also without entries, or LogReadFailed.
  void ReadFrom(std::uint64_t aOffset);

  /// Reads the list of VMs now and at every list interval; gives VmListRead.
  void StartList();

  /// Ends all calls; nothing is delivered after it.
  void Stop();

private:
  PlatformClient(boost::asio::io_context& aContext,
                 const PlatformSettings& aSettings,
                 std::unique_ptr<HttpClient> aHttp,
                 Deliver aDeliver);

  HttpCall CallOf(HttpMethod aMethod, std::string aTarget, Time aTimeout) const;
  void DeliverBody(decltype(NodeEvent::Fields::mBody) aBody);
  void Read();
  void OnRead(const HttpResult& aResult, Time aSentAt);
  void RetryRead(const std::string& aDetail);
  void ReadList();
  void OnList(const HttpResult& aResult);

  PlatformSettings mSettings;
  std::unique_ptr<HttpClient> mHttp;
  Deliver mDeliver;
  std::uint64_t mOffset{ 0 };
  std::uint64_t mReadCall{ 0 };
  boost::asio::steady_timer mReadTimer;
  boost::asio::steady_timer mListTimer;
};

} // namespace by
