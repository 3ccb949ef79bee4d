#include "by_telemetry/Logger.h"

#include <clocale>
#include <string>
#include <utility>

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggerrepository.h>

#include "absl/strings/str_cat.h"

#include "by_telemetry/detail/LogChannels.h"

namespace by {

namespace {

/// Keeps letters beyond ASCII as they are; every C library has it.
constexpr const char* kUtf8Locale = "C.UTF-8";
/// Time in UTC, level, part, sentence.
constexpr const char* kTextPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %-5p %c: %m%n";

log4cxx::LevelPtr
LevelOf(const std::string& aName)
{
  if (aName == "trace") {
    return log4cxx::Level::getTrace();
  }
  if (aName == "debug") {
    return log4cxx::Level::getDebug();
  }
  if (aName == "info") {
    return log4cxx::Level::getInfo();
  }
  if (aName == "warn") {
    return log4cxx::Level::getWarn();
  }
  if (aName == "error") {
    return log4cxx::Level::getError();
  }
  return nullptr;
}

log4cxx::LayoutPtr
LayoutOf(LogFormat aFormat)
{
  if (aFormat == LogFormat::Json) {
    return std::make_shared<log4cxx::JSONLayout>();
  }
  return std::make_shared<log4cxx::PatternLayout>(kTextPattern);
}

void
Write(const log4cxx::LoggerPtr& aLogger,
      const log4cxx::LevelPtr& aLevel,
      std::string_view aSentence)
{
  if (aLogger->isEnabledFor(aLevel)) {
    aLogger->forcedLog(aLevel, std::string(aSentence));
  }
}

} // namespace

absl::StatusOr<Logger>
Logger::Create(const TelemetrySettings& aSettings)
{
  const auto level = LevelOf(aSettings.LogLevel());
  if (level == nullptr) {
    return absl::InvalidArgumentError(absl::StrCat(
      "log_level: ", aSettings.LogLevel(), " is not trace, debug, info, warn or error"));
  }
  std::setlocale(LC_CTYPE, kUtf8Locale);
  log4cxx::LogManager::getLoggerRepository()->setConfigured(true);
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
    LayoutOf(aSettings.LogFormat()), log4cxx::ConsoleAppender::getSystemErr()));
  root->setLevel(level);
  auto channels = std::make_shared<detail::LogChannels>();
  for (std::size_t i = 0; i < kLogParts; ++i) {
    const std::string name(ToString(static_cast<LogPart>(i)));
    channels->mLoggers[i] = log4cxx::Logger::getLogger(name);
  }
  return Logger(std::move(channels));
}

Logger::Logger(std::shared_ptr<const detail::LogChannels> aChannels)
  : mChannels(std::move(aChannels))
{
}

void
Logger::Trace(LogPart aPart, std::string_view aSentence) const
{
  Write(mChannels->Of(aPart), log4cxx::Level::getTrace(), aSentence);
}

void
Logger::Debug(LogPart aPart, std::string_view aSentence) const
{
  Write(mChannels->Of(aPart), log4cxx::Level::getDebug(), aSentence);
}

void
Logger::Info(LogPart aPart, std::string_view aSentence) const
{
  Write(mChannels->Of(aPart), log4cxx::Level::getInfo(), aSentence);
}

void
Logger::Warn(LogPart aPart, std::string_view aSentence) const
{
  Write(mChannels->Of(aPart), log4cxx::Level::getWarn(), aSentence);
}

void
Logger::Error(LogPart aPart, std::string_view aSentence) const
{
  Write(mChannels->Of(aPart), log4cxx::Level::getError(), aSentence);
}

bool
Logger::IsDebugEnabled(LogPart aPart) const
{
  return mChannels->Of(aPart)->isEnabledFor(log4cxx::Level::getDebug());
}

} // namespace by
