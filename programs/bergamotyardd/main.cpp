#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <cxxopts.hpp>

#include "by_daemon/by_daemon.h"
#include "by_settings/by_settings.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitNotClean = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotRun = 3;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("bergamotyardd", "An entry node of a bergamotyard cluster.");
  options.add_options()("config", "Settings file to run with", cxxopts::value<std::string>())(
    "check-config", "Check a settings file and exit", cxxopts::value<std::string>())(
    "version", "Print the version")("help", "Print this help");
  return options;
}

absl::StatusOr<by::NodeSettings>
ReadSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(aPath + ": can't be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return by::ReadNodeSettings(text.str());
}

int
CheckConfigFile(const std::string& aPath)
{
  const auto settings = ReadSettingsFile(aPath);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitUsage;
  }
  std::cout << aPath << ": no faults\n";
  return kExitOk;
}

int
RunDaemon(const std::string& aPath)
{
  const auto settings = ReadSettingsFile(aPath);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitUsage;
  }
  auto daemon = by::Daemon::Create(*settings);
  if (!daemon.ok()) {
    std::cerr << "bergamotyardd: " << daemon.status().message() << '\n';
    return kExitCannotRun;
  }
  return (*daemon)->Run() ? kExitOk : kExitNotClean;
}

int
RunWith(const cxxopts::ParseResult& aOptions, const std::string& aHelp)
{
  if (aOptions.count("help") > 0) {
    std::cout << aHelp;
    return kExitOk;
  }
  if (aOptions.count("version") > 0) {
    std::cout << "bergamotyardd " BY_VERSION "\n";
    return kExitOk;
  }
  if (aOptions.count("check-config") > 0) {
    return CheckConfigFile(aOptions["check-config"].as<std::string>());
  }
  if (aOptions.count("config") > 0) {
    return RunDaemon(aOptions["config"].as<std::string>());
  }
  std::cerr << "bergamotyardd: --config FILE is needed; see --help\n";
  return kExitUsage;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    auto options = MakeOptions();
    return RunWith(options.parse(aCount, aArguments), options.help());
  } catch (const std::exception& error) {
    std::cerr << "bergamotyardd: " << error.what() << '\n';
    return kExitUsage;
  }
}
