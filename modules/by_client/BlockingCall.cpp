#include "by_client/BlockingCall.h"

#include "by_client/HttpClient.h"

namespace by {

HttpResult
CallAndWait(const HttpCall& aCall)
{
  boost::asio::io_context context;
  auto client = HttpClient::Create(context, HttpClientSettings()).value();
  HttpResult result;
  client->Send(aCall, [&](std::uint64_t, const HttpResult& aResult) {
    result = aResult;
    context.stop();
  });
  context.run();
  return result;
}

} // namespace by
