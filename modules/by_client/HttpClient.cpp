#include "by_client/HttpClient.h"

#include <utility>

#include "by_client/detail/CallTable.h"

namespace by {

absl::StatusOr<std::unique_ptr<HttpClient>>
HttpClient::Create(boost::asio::io_context& aContext,
                   const HttpClientSettings& aSettings,
                   IdentityReader aIdentity)
{
  auto checked = HttpClientSettings::Create(aSettings.ToFields());
  if (!checked.ok()) {
    return checked.status();
  }
  return std::unique_ptr<HttpClient>(
    new HttpClient(std::make_shared<detail::CallTable>(aContext, *checked, std::move(aIdentity))));
}

HttpClient::HttpClient(std::shared_ptr<detail::CallTable> aCalls)
  : mCalls(std::move(aCalls))
{
}

HttpClient::~HttpClient()
{
  mCalls->Close();
}

std::uint64_t
HttpClient::Send(HttpCall aCall, Handler aHandler)
{
  return mCalls->Send(std::move(aCall), std::move(aHandler));
}

void
HttpClient::Cancel(std::uint64_t aCall)
{
  mCalls->GiveUp(aCall, "cancelled");
}

std::size_t
HttpClient::OpenCalls() const
{
  return mCalls->OpenCalls();
}

} // namespace by
