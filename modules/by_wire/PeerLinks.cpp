#include "by_wire/PeerLinks.h"

#include <boost/asio/post.hpp>

#include "by_schema/NodeSettings.h"
#include "by_schema/SendFrame.h"
#include "by_schema/SendHeartbeat.h"
#include "by_wire/detail/PeerLinksBody.h"

namespace by {

absl::StatusOr<std::unique_ptr<PeerLinks>>
PeerLinks::Create(boost::asio::io_context& aContext,
                  const NodeSettings& aSettings,
                  WireHooks aHooks)
{
  auto body = std::make_shared<detail::PeerLinksBody>(aContext, aSettings, std::move(aHooks));
  const auto status = body->Open();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(body)));
}

PeerLinks::PeerLinks(std::shared_ptr<detail::PeerLinksBody> aBody)
  : mBody(std::move(aBody))
{
}

PeerLinks::~PeerLinks() = default;

void
PeerLinks::Send(const SendHeartbeat& aEffect)
{
  boost::asio::post(mBody->Context(),
                    [body = mBody, beat = aEffect.Heartbeat()] { body->SendHeartbeats(beat); });
}

void
PeerLinks::Send(const SendFrame& aEffect)
{
  boost::asio::post(mBody->Context(), [body = mBody, aEffect] { body->SendTo(aEffect); });
}

void
PeerLinks::Stop()
{
  boost::asio::post(mBody->Context(), [body = mBody] { body->Close(); });
}

std::uint16_t
PeerLinks::Port() const
{
  return mBody->Port();
}

} // namespace by
