#pragma once

#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_schema/TelemetrySettings.h"
#include "by_telemetry/LogPart.h"

namespace by {

namespace detail {
struct LogChannels;
}

/// Writes log lines to standard error: one short sentence each, with the prefix of its part.
///
/// A copy writes to the same place. All methods may be called from any thread.
class Logger
{
public:
  /// Sets the process's log up; the last call counts for the whole process.
  /// @returns the logger, or InvalidArgument for an unknown level.
  static absl::StatusOr<Logger> Create(const TelemetrySettings& aSettings);

  /// Steps of one call, for finding a fault.
  void Trace(LogPart aPart, std::string_view aSentence) const;
  /// Single events, for finding a fault.
  void Debug(LogPart aPart, std::string_view aSentence) const;
  /// Changes that operators want to see on an ordinary day.
  void Info(LogPart aPart, std::string_view aSentence) const;
  /// Something failed and the process deals with it.
  void Warn(LogPart aPart, std::string_view aSentence) const;
  /// Something failed that needs an operator.
  void Error(LogPart aPart, std::string_view aSentence) const;

  /// @returns whether Debug() writes, so that a costly sentence need not be built.
  bool IsDebugEnabled(LogPart aPart) const;

private:
  explicit Logger(std::shared_ptr<const detail::LogChannels> aChannels);

  std::shared_ptr<const detail::LogChannels> mChannels;
};

} // namespace by
