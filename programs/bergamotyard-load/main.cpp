#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <cxxopts.hpp>

#include "LoadRun.h"
#include "by_client/by_client.h"
#include "by_json/by_json.h"
#include "by_json/generated/backend_json.h"
#include "by_json/generated/standins_json.h"
#include "by_runtime/by_runtime.h"

namespace {

using by::load::Broken;
using by::load::EndsOf;
using by::load::Tally;
using by::load::Verdict;

constexpr std::size_t kComplaintsShown = 20;
constexpr std::size_t kRunNameLength = 8;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

std::optional<by::BackendCounters>
ReadCounters(const by::LoadSettings& aSettings)
{
  const auto result = by::CallAndWait(
    by::HttpCall::Create({ .mEndpoint = aSettings.BackendControl(), .mTarget = "/v1/counters" })
      .value());
  const auto counters = by::ReadJsonText<by::BackendCounters>(result.Body());
  if (!by::IsOk(result) || !counters.ok()) {
    return std::nullopt;
  }
  return *counters;
}

void
PrintDetails(const Tally& aTally, const Broken& aBroken)
{
  for (const auto& [reason, n] : aTally.mReasons) {
    std::cout << "load: " << n << " times " << reason << "\n";
  }
  std::cout << "load: " << aTally.mSentAgain << " broken calls sent again through another node\n";
  const auto& window = aTally.mWindow;
  if (window.mSubmitted > 0) {
    std::cout << "load: in the window submitted=" << window.mSubmitted
              << " answered=" << EndsOf(window, Verdict::Answered)
              << " not_run=" << EndsOf(window, Verdict::NotRun)
              << " unknown=" << EndsOf(window, Verdict::Unknown) << "\n";
  }
  for (std::size_t n = 0; n < aTally.mComplaints.size() && n < kComplaintsShown; ++n) {
    std::cout << "load: " << aTally.mComplaints[n] << "\n";
  }
  std::cout << "load: overcommitted=" << aBroken.mOvercommitted
            << " not_run_that_ran=" << aBroken.mNotRunThatRan << "\n";
}

/// @returns whether every promise held.
bool
Report(const Tally& aTally, const Broken& aBroken)
{
  PrintDetails(aTally, aBroken);
  const auto& all = aTally.mAll;
  const auto wrong = EndsOf(all, Verdict::Wrong);
  std::cout << "demo: submitted=" << all.mSubmitted
            << " answered=" << EndsOf(all, Verdict::Answered)
            << " not_run=" << EndsOf(all, Verdict::NotRun)
            << " unknown=" << EndsOf(all, Verdict::Unknown) << " wrong=" << wrong
            << " doubled=" << aBroken.mDoubled << std::endl;
  return wrong == 0 && aBroken.mDoubled == 0 && aBroken.mOvercommitted == 0 &&
         aBroken.mNotRunThatRan == 0;
}

int
RunLoad(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  const auto settings = by::ReadJsonText<by::LoadSettings>(text.str());
  if (!settings.ok() || settings->Nodes().empty() || settings->Teams().empty()) {
    std::cerr << aPath << ": "
              << (settings.ok() ? "needs nodes and teams"
                                : std::string(settings.status().message()))
              << "\n";
    return kExitUsage;
  }
  const auto before = ReadCounters(*settings);
  auto tally = by::load::LoadRun(*settings, by::DrawId().substr(0, kRunNameLength)).Run();
  const auto after = ReadCounters(*settings);
  if (!before || !after) {
    std::cerr << "load: the counters of the backend stand-ins can't be read\n";
    return kExitBroken;
  }
  const auto broken = by::load::CompareWithRuns(tally, *before, *after);
  return Report(tally, broken) ? 0 : kExitBroken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    cxxopts::Options options("bergamotyard-load", "Submits requests and checks their answers.");
    options.add_options()("load", "settings file", cxxopts::value<std::string>())("help",
                                                                                  "this help");
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0 || parsed.count("load") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : kExitUsage;
    }
    return RunLoad(parsed["load"].as<std::string>());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bergamotyard-load: %s\n", error.what());
    return kExitUsage;
  }
}
