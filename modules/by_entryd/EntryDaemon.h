#pragma once

#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_entryd/EntryPorts.h"
#include "by_entryd/ReloadedSettings.h"
#include "by_schema/EntrySettings.h"

namespace by {

namespace detail {
class EntryDaemonBody;
}

/// One entry node as a process: one thread for its decisions, one for traffic.
class EntryDaemon
{
public:
  /// Opens all sockets.
  /// @param aGrace how long a planned stop may take.
  /// @param aRead called on SIGHUP, on the control thread.
  /// @returns the daemon, or what could not be opened.
  static absl::StatusOr<std::unique_ptr<EntryDaemon>> Create(const EntrySettings& aSettings,
                                                             Time aGrace,
                                                             const OpenPorts& aOpen,
                                                             ReadSettings aRead);

  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Runs until a planned stop is complete.
  /// @param aVersion the version of the program, for the first line of the log.
  /// @returns whether nothing was left open.
  bool Run(std::string_view aVersion);

private:
  explicit EntryDaemon(std::unique_ptr<detail::EntryDaemonBody> aBody);

  std::unique_ptr<detail::EntryDaemonBody> mBody;
};

} // namespace by
