#include <cstdio>
#include <exception>

#include "backend_server/BackendYard.h"
#include "by_json/generated/standins_json.h"
#include "common/RunStandin.h"

int
main(int aCount, char** aArguments)
{
  try {
    const auto arguments =
      by::standins::ReadArguments("bergamotyard-backend-standin", aCount, aArguments);
    return by::standins::RunStandin<by::BackendStandinSettings>(arguments,
                                                                by::standins::BackendYard::Create);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
