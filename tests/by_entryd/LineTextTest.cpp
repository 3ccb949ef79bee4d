// Programs read the log as JSON, one object a line. A text with a quote, a line break or bytes
// beyond ASCII must come out as boost::json writes it, whichever way it is quoted.

#include <string>

#include <CppUTest/TestHarness.h>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "by_entryd/detail/LineText.h"

using namespace by;

namespace {

std::string
TextOf(const std::string& aNode, const LogLine& aLine)
{
  std::string text;
  detail::AppendLine(text, Time::FromMilliseconds(1782945360392), aNode, aLine);
  return text;
}

LogLine
LineOf(const std::string& aDetail)
{
  return LogLine::Create(
           { .mEvent = "task.placed", .mSubject = "26bedc967e9c654e.0.0.0#1", .mDetail = aDetail })
    .value();
}

} // namespace

TEST_GROUP(LineText){};

TEST(LineText, IsOneObject)
{
  STRCMP_EQUAL(R"({"at":1782945360392,"node":"edge-hmo-a-2","event":"task.placed",)"
               R"("subject":"26bedc967e9c654e.0.0.0#1","detail":"worker=w age_ms=290"})",
               TextOf("edge-hmo-a-2", LineOf("worker=w age_ms=290")).c_str());
}

TEST(LineText, QuotesEveryByteAsBoostDoes)
{
  for (int byte = 0; byte < 256; ++byte) {
    const auto detail = "error=" + std::string(1, static_cast<char>(byte)) + " end";
    const auto text = TextOf("n1", LineOf(detail));
    const auto expected = "\"detail\":" + boost::json::serialize(boost::json::string(detail)) + "}";
    CHECK(text.ends_with(expected));
  }
}
