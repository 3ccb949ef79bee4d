#include "by_daemon/Daemon.h"

#include <utility>

#include "by_daemon/detail/DaemonBody.h"

namespace by {

absl::StatusOr<std::unique_ptr<Daemon>>
Daemon::Create(const NodeSettings& aSettings)
{
  auto body = std::make_unique<detail::DaemonBody>(aSettings);
  const auto status = body->Open();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(body)));
}

Daemon::Daemon(std::unique_ptr<detail::DaemonBody> aBody)
  : mBody(std::move(aBody))
{
}

Daemon::~Daemon() = default;

bool
Daemon::Run()
{
  return mBody->Run();
}

} // namespace by
