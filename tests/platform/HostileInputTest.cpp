#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

#include "by_web/RefusalReport.h"
#include "platform/Decode.h"

using namespace by;
using namespace by::platform;

namespace {

/// A submission that is as it should be.
const std::string kJob =
  R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimated_ms":900,)"
  R"("anti_affinity":2,"may_miss":1,"target_ms":80},{"count":2,"after":[0]}],)"
  R"("repeats":3,"start_at_ms":1700000000000,"interval_ms":5000})";

/// The submission with one part replaced.
std::string
With(const std::string& aPart, const std::string& aOther)
{
  auto text = kJob;
  const auto place = text.find(aPart);
  CHECK(place != std::string::npos);
  return text.replace(place, aPart.size(), aOther);
}

} // namespace

TEST_GROUP(HostileInput){};

/// Numbers wrapped around, so that a job had another size than its caller said.
TEST(HostileInput, NumbersOutOfRangeAreRefused)
{
  CHECK(DecodeJob(kJob).ok());
  for (const auto* number : { "-1", "4294967298", "1e300", "-1e300", "18446744073709551615" }) {
    for (const auto* part : { "\"count\":4",
                              "\"cpu\":500",
                              "\"mem_mb\":256",
                              "\"gpu\":1",
                              "\"estimated_ms\":900",
                              "\"anti_affinity\":2",
                              "\"may_miss\":1",
                              "\"target_ms\":80",
                              "\"repeats\":3",
                              "\"interval_ms\":5000",
                              "\"start_at_ms\":1700000000000" }) {
      const std::string text(part);
      const bool isLarge =
        std::string(number) == "4294967298" && (text.find("_ms") != std::string::npos);
      if (!isLarge) {
        CHECK(!DecodeJob(With(text, text.substr(0, text.find(':') + 1) + number)).ok());
      }
    }
  }
  CHECK(!DecodeJob(With("[0]", "[4294967296]")).ok());
}

/// An owner opened each occurrence that is due at once, so that a few bytes filled its memory.
TEST(HostileInput, JobsOfTooManyTasksAreRefused)
{
  CHECK(!DecodeJob(With("\"repeats\":3", "\"repeats\":100000")).ok());
  CHECK(!DecodeJob(With("\"count\":4", "\"count\":99999")).ok());
}

/// Of two values for one key, a proxy and this product could each have taken another.
TEST(HostileInput, RepeatedKeysAreRefused)
{
  CHECK(!DecodeJob(With("\"repeats\":3", "\"repeats\":3,\"repeats\":4")).ok());
  CHECK(!DecodeJob(With("\"cpu\":500", "\"cpu\":500,\"\\u0063pu\":1")).ok());
  CHECK(!DecodeJob(With("\"spec\":\"text\"", "\"spec\":\"text\",\"spec\":\"other\"")).ok());
}

TEST(HostileInput, DeepNestingIsRefused)
{
  for (const auto* part : { "[", "{\"a\":" }) {
    std::string text = R"({"spec":"x","steps":)";
    for (int i = 0; i < 100000; ++i) {
      text += part;
    }
    CHECK(!DecodeJob(text).ok());
    CHECK(!DecodeLists(text).ok());
    CHECK(!DecodeConfig(text).ok());
  }
}

TEST(HostileInput, TextThatIsNotUtf8IsRefused)
{
  for (const std::string bytes :
       { "\xff", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xe2\x82" }) {
    CHECK(!DecodeJob(With("text", bytes)).ok());
  }
}

/// A number of a worker's list beyond any whole number had an undefined value.
TEST(HostileInput, NumbersOfListsAreTakenWithinTheirRange)
{
  CHECK(DecodeLists(R"({"clock_ms":1e300,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",1e300,-1e300]],
                        "ended":[]})")
          .ok());
  CHECK(!DecodeLists(R"({"clock_ms":1,"running":[["a.b.0.1.17",2,"",1,1]],"ended":[]})").ok());
}

/// A decoder ended the process on damaged input. The seed is fixed, so that a failure repeats.
TEST(HostileInput, DamagedTextIsAnErrorOrAValue)
{
  std::minstd_rand random(11);
  const std::string marks = "{}[]\",:0-e9.\\u\xff";
  for (int round = 0; round < 3000; ++round) {
    auto text = kJob;
    for (auto n = 1 + random() % 4; n > 0; --n) {
      text[random() % text.size()] = marks[random() % marks.size()];
    }
    text.resize(text.size() - random() % 3);
    const auto job = DecodeJob(text);
    CHECK(!job.ok() || job->Steps().size() <= 2);
    const auto lists = DecodeLists(text);
    const auto config = DecodeConfig(text);
    const auto wave = DecodeWave(text);
    const auto worker = DecodeRegistration("i-1", text);
    CHECK(!worker.ok() || !worker->Pool().empty());
  }
}

TEST_GROUP(RefusalReport){};

/// A flood of refusals wrote a line for each of them.
TEST(RefusalReport, OneLineASecondTellsOfAllRefusals)
{
  RefusalReport report;
  const auto at = [](std::int64_t aMs) { return Time::FromMilliseconds(aMs); };
  const auto first = ReportRefusal(report, Refusal::BodyTooLarge, at(5000));
  CHECK(first.has_value());
  STRCMP_EQUAL("body_too_large=1", first->Detail().c_str());
  CHECK(!ReportRefusal(report, Refusal::BodyTooLarge, at(5001)).has_value());
  CHECK(!ReportRefusal(report, Refusal::Malformed, at(5999)).has_value());
  const auto second = ReportRefusal(report, Refusal::BodyTooLarge, at(6000));
  CHECK(second.has_value());
  STRCMP_EQUAL("malformed=1 body_too_large=2", second->Detail().c_str());
}

/// Connections that are closed since they were idle are nothing to look at.
TEST(RefusalReport, IdleConnectionsCauseNoLine)
{
  RefusalReport report;
  CHECK(!ReportRefusal(report, Refusal::IdleTimeout, Time::FromMilliseconds(5000)).has_value());
}
