#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_schema/HttpCall.h"
#include "by_schema/HttpClientSettings.h"
#include "by_schema/HttpResult.h"

namespace by {

namespace detail {
class CallTable;
}

/// Makes HTTP/1.1 calls over pooled keep-alive connections.
///
/// Everything runs on the thread that runs the io_context; the client is not for use from others.
/// A call is never sent a second time: whether to retry is the caller's decision.
class HttpClient
{
public:
  /// Called once for each call, never from inside Send() or Cancel().
  using Handler = std::function<void(std::uint64_t aCall, const HttpResult& aResult)>;
  /// Reads the peer's identity from a response.
  /// @returns the identity, or an empty text if the response has none.
  using IdentityReader = std::function<std::string(const HttpResult& aResult)>;

  /// Builds a client.
  /// @param aContext runs the client; outlives it.
  /// @param aIdentity reads the identities of peers; without it calls with a peer check are not
  /// sent.
  /// @returns the client, or InvalidArgument for settings out of their bounds.
  static absl::StatusOr<std::unique_ptr<HttpClient>> Create(boost::asio::io_context& aContext,
                                                            const HttpClientSettings& aSettings,
                                                            IdentityReader aIdentity = {});

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Closes all connections; handlers of open calls are dropped without a call.
  ~HttpClient();

  /// Starts a call. One with a peer check is written to a connection only after the peer has
  /// identified itself there; a process that takes the endpoint over can't receive it, since the
  /// connections of its predecessor end with that one.
  /// @returns the number of the call.
  std::uint64_t Send(HttpCall aCall, Handler aHandler);

  /// Gives a call up; its handler is told NotSent or Lost. Unknown numbers are ignored.
  void Cancel(std::uint64_t aCall);

  /// @returns the number of calls whose handler has not been called.
  std::size_t OpenCalls() const;

private:
  explicit HttpClient(std::shared_ptr<detail::CallTable> aCalls);

  std::shared_ptr<detail::CallTable> mCalls;
};

} // namespace by
