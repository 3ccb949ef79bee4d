#include <string>

#include "by_telemetry/by_telemetry.h"

#include "CppUTest/TestHarness.h"

using namespace by;

TEST_GROUP(Metrics){};

namespace {

NodeEffect
AnswerEffect(Outcome aOutcome, Reason aReason)
{
  const auto answer =
    Answer::Create(
      { .mOutcome = aOutcome, .mReason = aReason, .mWaited = Time::FromMilliseconds(4) })
      .value();
  return NodeEffect::Create({ .mBody = AnswerCaller::Create({ .mAnswer = answer }).value() })
    .value();
}

} // namespace

TEST(Metrics, AnswersAreCountedByOutcomeAndReason)
{
  const auto metrics = Metrics::Create();
  CountEffect(*metrics, AnswerEffect(Outcome::Answered, Reason::None));
  CountEffect(*metrics, AnswerEffect(Outcome::NotRun, Reason::Quota));
  CountEffect(*metrics, AnswerEffect(Outcome::NotRun, Reason::Quota));
  const auto text = metrics->MetricsText();
  STRCMP_CONTAINS(R"(bergamotyard_requests_total{outcome="not_run",reason="quota"} 2)",
                  text.c_str());
  STRCMP_CONTAINS(R"(bergamotyard_request_wait_seconds_bucket{le="0.002"} 0)", text.c_str());
  STRCMP_CONTAINS(R"(bergamotyard_request_wait_seconds_bucket{le="0.005"} 1)", text.c_str());
}

TEST(Metrics, RefusedLeaseCountsAsAFailure)
{
  const auto metrics = Metrics::Create();
  const auto refused = NodeEvent::Create({ .mBody = LeaseAnswered::Create({}).value() }).value();
  CountEvent(*metrics, refused);
  STRCMP_CONTAINS("bergamotyard_lease_failures_total 1\n", metrics->MetricsText().c_str());
}

TEST(Metrics, GaugesFollowTheState)
{
  const auto metrics = Metrics::Create();
  const auto mine = RackOwner::Create({ .mRack = RackId("r1"), .mNode = NodeId("a1") }).value();
  const auto other = RackOwner::Create({ .mRack = RackId("r2"), .mNode = NodeId("a2") }).value();
  const auto self = NodeStatus::Create({ .mNode = NodeId("a1"), .mStatus = "self" }).value();
  const auto gone = NodeStatus::Create({ .mNode = NodeId("a2"), .mStatus = "suspected" }).value();
  SetGauges(*metrics,
            StateDump::Create({ .mNode = NodeId("a1"),
                                .mConfigVersion = 7,
                                .mNodes = { self, gone },
                                .mOwners = { mine, other } })
              .value());
  const auto text = metrics->MetricsText();
  STRCMP_CONTAINS("bergamotyard_config_version 7\n", text.c_str());
  STRCMP_CONTAINS("bergamotyard_racks_owned 1\n", text.c_str());
  STRCMP_CONTAINS("bergamotyard_members_alive 1\n", text.c_str());
}
