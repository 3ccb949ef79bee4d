#include <cstdio>
#include <fstream>

#include "by_cli/by_cli.h"

#include "CppUTest/TestHarness.h"

using namespace by;

namespace {

constexpr const char* kFile = "by_cli_trace.log";

ToolOutput
Trace(const std::string& aLog, const std::vector<std::string>& aOptions = {})
{
  std::ofstream(kFile) << aLog;
  std::vector<std::string> arguments{ "trace", "0123456789abcdef", kFile };
  arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
  auto output = RunTool(arguments, {});
  std::remove(kFile);
  return output;
}

constexpr const char* kLog =
  "12.0 n1 {\"at\":1000,\"node\":\"n1\",\"event\":\"job.received\",\"subject\":"
  "\"0123456789abcdef\",\"detail\":\"queue=/q/\"}\n"
  "not a record\n"
  "{\"at\":1500,\"node\":\"n2\",\"event\":\"job.ended\",\"subject\":\"0123456789abcdef\","
  "\"detail\":\"state=completed\"}\n"
  "{\"at\":1600,\"node\":\"n2\",\"event\":\"job.ended\",\"subject\":\"0123456789abc";

} // namespace

TEST_GROUP(Trace){};

TEST(Trace, JobIsFoundBesideDamagedLines)
{
  const auto output = Trace(std::string(kLog) + "def\n");
  LONGS_EQUAL(0, static_cast<int>(output.ExitCode()));
  STRCMP_CONTAINS("job 0123456789abcdef: completed after 500 ms", output.Out().c_str());
  STRCMP_CONTAINS("1 lines can't be read", output.Err().c_str());
  STRCMP_CONTAINS("\"outcome\":\"completed\"", Trace(kLog, { "--json" }).Out().c_str());
  CHECK(Trace(kLog, { "--brief" }).Out().find("DETAIL") == std::string::npos);
}

TEST(Trace, UnknownJobAndMissingFileAreTold)
{
  LONGS_EQUAL(1, static_cast<int>(Trace("").ExitCode()));
  LONGS_EQUAL(2, static_cast<int>(RunTool({ "trace", "x", "no such file" }, {}).ExitCode()));
  LONGS_EQUAL(2, static_cast<int>(RunTool({ "trace", "x" }, {}).ExitCode()));
}
