#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_http/HttpHooks.h"
#include "by_schema/AnswerCaller.h"
#include "by_schema/HttpSettings.h"
#include "by_schema/ReplyOperator.h"
#include "by_schema/TeamTokens.h"

namespace by {

namespace detail {
struct HttpShared;
}

/// Serves callers and operators over HTTP.
///
/// Connections are spread over the traffic threads; each lives on one thread from its first byte to
/// its last. Methods may be called from any thread: they post to the threads that they concern.
class HttpServer
{
public:
  /// Starts to listen.
  /// @param aTraffic at least one io_context, each run by exactly one thread; they outlive the
  ///   server and are destroyed from the last to the first.
  /// @returns the server, or Unavailable where it can't listen.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  Create(std::vector<boost::asio::io_context*> aTraffic, const HttpSettings&, HttpHooks aHooks);

  /// Stops as Stop() does.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sends a caller its answer; without effect where the caller is gone.
  void Answer(const AnswerCaller& aAnswer);

  /// Sends an operator its reply; without effect where the operator is gone.
  void Reply(const ReplyOperator& aReply);

  /// Takes over the teams' tokens, as the configuration in force has them.
  void SetTokens(const std::shared_ptr<const TeamTokens>& aTokens);

  /// Says whether the node takes new work; shown on /readyz.
  void SetReady(bool aReady);

  /// @returns the port on which it listens.
  std::uint16_t Port() const;

  /// Closes the listener and all connections that wait for their next call; calls in flight go on
  /// and their connections close after the answer.
  void StopAccepting();

  /// Takes no further connections and closes each open one once its calls are answered.
  /// @param aFinished told once, on any thread, when the last connection is closed.
  void Finish(std::function<void()> aFinished);

  /// Closes the listener and all connections.
  void Stop();

private:
  explicit HttpServer(std::shared_ptr<detail::HttpShared> aShared);

  std::shared_ptr<detail::HttpShared> mShared;
};

} // namespace by
