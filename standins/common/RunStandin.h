#pragma once

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "by_json/by_json.h"

namespace by::standins {

/// What a stand-in was started with.
struct StandinArguments
{
  std::string mSettingsFile;
  std::string mReadyFile;
};

/// Reads the command line.
/// @throws cxxopts::exceptions::exception for unknown options.
inline StandinArguments
ReadArguments(const char* aName, int aCount, char** aArguments)
{
  cxxopts::Options options(aName, "A stand-in for demos and tests.");
  options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
    "ready", "file that receives the settings with all ports", cxxopts::value<std::string>())(
    "help", "print this help");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0 || parsed.count("settings") == 0) {
    std::cout << options.help() << "\n";
    return {};
  }
  return { parsed["settings"].as<std::string>(),
           parsed.count("ready") != 0 ? parsed["ready"].as<std::string>() : "" };
}

/// Runs a stand-in until SIGINT or SIGTERM.
/// @param aStart builds the stand-in from its settings; its Settings() has the ports.
/// @returns the exit status.
template<class Settings, class Start>
int
RunStandin(const StandinArguments& aArguments, Start aStart)
{
  if (aArguments.mSettingsFile.empty()) {
    return 2;
  }
  std::ifstream file(aArguments.mSettingsFile);
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = ReadJsonText<Settings>(text.str());
  if (!settings.ok()) {
    std::cerr << aArguments.mSettingsFile << ": " << settings.status().message() << "\n";
    return 1;
  }
  boost::asio::io_context context(1);
  const auto standin = aStart(context, *settings);
  if (!standin.ok()) {
    std::cerr << standin.status().message() << "\n";
    return 1;
  }
  if (!aArguments.mReadyFile.empty()) {
    std::ofstream(aArguments.mReadyFile) << WriteJsonText((*standin)->Settings()) << "\n";
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

} // namespace by::standins
