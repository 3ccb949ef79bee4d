#include <CppUTest/TestHarness.h>

#include "by_json/by_json.h"
#include "by_json/generated/requests_json.h"
#include "by_json/generated/settings_json.h"
#include "by_wire/by_wire.h"

using namespace by;

TEST_GROUP(Schema){};

TEST(Schema, OutOfBoundsFieldIsRejectedWithItsName)
{
  const auto created = SubmitBody::Create({ .mLabel = "", .mKind = "fare-quote" });
  CHECK_FALSE(created.ok());
  STRCMP_EQUAL("label: 0 is below 1", std::string(created.status().message()).c_str());
}

TEST(Schema, AllErrorsInSettingsAreReportedWithTheirPaths)
{
  const auto read = ReadJsonText<NodeSettings>(R"({
    // a comment
    "traffic_threads": 900,
    "http": { "listen": { "port": "x" }, "unheard_of": 1 },
    "peers": [ { "node": "" } ]
  })");
  CHECK_FALSE(read.ok());
  STRCMP_EQUAL("peers[0].node: 0 is below 1\n"
               "http.listen.port: is not a whole number in range\n"
               "http.unheard_of: is not a known key\n"
               "traffic_threads: 900 is above 64",
               std::string(read.status().message()).c_str());
}

TEST(Schema, MalformedTextIsReportedWithLineAndColumn)
{
  const auto read = ReadJsonText<NodeSettings>("{\n  \"node\": ,\n}");
  CHECK_FALSE(read.ok());
  STRCMP_CONTAINS("line 2, column", std::string(read.status().message()).c_str());
}

TEST(Schema, JsonRoundTripKeepsTheValue)
{
  const auto request = Request::Create({ .mId = RequestId("r1"),
                                         .mTeam = TeamId("arreo"),
                                         .mLabel = "booking-1",
                                         .mKind = "booking",
                                         .mPriority = Priority::Urgent,
                                         .mMaxWait = Time::FromMilliseconds(1500) })
                         .value();
  CHECK(request == ReadJsonText<Request>(WriteJsonText(request)).value());
}

TEST(Schema, CerealRoundTripKeepsTheFrame)
{
  const auto answer = Answer::Create({ .mRequest = RequestId("r1"), .mPayload = "whole" }).value();
  const auto frame =
    Frame::Create(
      { .mFrom = NodeId("node-1"),
        .mBody =
          ForwardedAnswer::Create({ .mRequest = RequestId("r1"), .mAnswer = answer }).value() })
      .value();
  CHECK(frame == DecodeFrame(EncodeFrame(frame)).value());
}

TEST(Schema, TruncatedFrameIsRejected)
{
  const auto bytes = EncodeFrame(Frame::Create({ .mFrom = NodeId("node-1") }).value());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeFrame(std::string_view(bytes).substr(0, n)).ok());
  }
}
