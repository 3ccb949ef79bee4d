#pragma once

#include <array>

#include <log4cxx/logger.h>

#include "by_telemetry/LogPart.h"

namespace by::detail {

/// One log4cxx logger for each part.
struct LogChannels
{
  std::array<log4cxx::LoggerPtr, kLogParts> mLoggers;

  /// @returns the logger of a part.
  const log4cxx::LoggerPtr& Of(LogPart aPart) const
  {
    return mLoggers[static_cast<std::size_t>(aPart)];
  }
};

} // namespace by::detail
