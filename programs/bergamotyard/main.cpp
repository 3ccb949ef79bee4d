#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "by_cli/RunTool.h"

namespace {

std::string
Variable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string() : std::string(value);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const auto output = by::RunTool(arguments,
                                  { .mNode = Variable("BERGAMOTYARD_NODE"),
                                    .mToken = Variable("BERGAMOTYARD_TOKEN"),
                                    .mUser = Variable("USER"),
                                    .mVersion = BY_VERSION });
  std::cout << output.Out() << std::flush;
  std::cerr << output.Err() << std::flush;
  return static_cast<int>(output.ExitCode());
}
