#include "by_http/detail/HttpShared.h"

#include <algorithm>

#include "by_web/CallLimits.h"

namespace by::detail {

ConnectionLimits
LimitsOf(const HttpSettings& aSettings)
{
  return WithDefaults(ConnectionLimits::Create({ .mHeaderBytes = aSettings.HeaderLimit(),
                                                 .mBodyBytes = aSettings.BodyLimit(),
                                                 .mHeaderTimeout = aSettings.IdleTimeout(),
                                                 .mIdleTimeout = aSettings.IdleTimeout() })
                        .value());
}

WebCapacity
CapacityWithin(const HttpSettings& aSettings)
{
  auto capacity = CapacityFor(LimitsInForce({}));
  capacity.mConnections = std::min(capacity.mConnections, aSettings.MaxConnections());
  return capacity;
}

} // namespace by::detail
