#include "by_entryd/EntryDaemon.h"

#include <utility>

#include "by_entryd/detail/EntryDaemonBody.h"

namespace by {

absl::StatusOr<std::unique_ptr<EntryDaemon>>
EntryDaemon::Create(const EntrySettings& aSettings,
                    Time aGrace,
                    const OpenPorts& aOpen,
                    ReadSettings aRead)
{
  auto body = std::make_unique<detail::EntryDaemonBody>(aSettings, aGrace, std::move(aRead));
  const auto status = body->Open(aOpen);
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(body)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<detail::EntryDaemonBody> aBody)
  : mBody(std::move(aBody))
{
}

EntryDaemon::~EntryDaemon() = default;

bool
EntryDaemon::Run(std::string_view aVersion)
{
  return mBody->Run(aVersion);
}

} // namespace by
