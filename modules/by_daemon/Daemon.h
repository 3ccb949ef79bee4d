#pragma once

#include <memory>

#include "absl/status/statusor.h"

namespace by {

class NodeSettings;

namespace detail {
class DaemonBody;
} // namespace detail

/// One entry node's process.
class Daemon
{
public:
  /// Opens the sockets that the settings name.
  /// @returns the daemon, or the reason why it can't run.
  static absl::StatusOr<std::unique_ptr<Daemon>> Create(const NodeSettings& aSettings);

  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until the planned stop is complete; the calling thread becomes the control thread.
  /// @returns true where everything in flight was answered.
  bool Run();

private:
  explicit Daemon(std::unique_ptr<detail::DaemonBody> aBody);

  std::unique_ptr<detail::DaemonBody> mBody;
};

} // namespace by
