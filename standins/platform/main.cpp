#include <cstdio>
#include <exception>

#include "by_json/generated/standins_json.h"
#include "common/RunStandin.h"
#include "platform/PlatformService.h"

int
main(int aCount, char** aArguments)
{
  try {
    const auto arguments =
      by::standins::ReadArguments("bergamotyard-platform-standin", aCount, aArguments);
    return by::standins::RunStandin<by::PlatformStandinSettings>(
      arguments, by::standins::PlatformService::Create);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
