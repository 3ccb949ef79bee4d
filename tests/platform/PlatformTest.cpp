#include <CppUTest/TestHarness.h>

#include "platform/CallResults.h"
#include "platform/Decode.h"
#include "platform/Encode.h"
#include "platform/Front.h"
#include "platform/KeyedTopic.h"
#include "platform/PlatformSettings.h"

using namespace by;
using namespace by::platform;

namespace {

HttpResult
Answered(std::int64_t aStatus, const std::string& aBody = "")
{
  return HttpResult::Create(
           { .mOutcome = CallOutcome::Completed, .mStatusCode = aStatus, .mBody = aBody })
    .value();
}

constexpr const char* kSettings = R"({
  "node_name": "edge-1", "ip": "10.1.0.13", "port_range": [7720, 7735],
  "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
  "platform": {"address": "10.200.1.7:8169", "ttl_min_ms": 1500},
  "advice": "10.200.1.9:8169",
  "bounds": {"hold_max_ms": 6000, "remote_factor": 3, "status_s": 60, "grace_s": 4.5},
  "something_new": true
})";

} // namespace

TEST_GROUP(Platform){};

TEST(Platform, SettingsAreReadAndUnknownFieldsIgnored)
{
  const auto node = ReadPlatformSettings(kSettings, 7);
  CHECK(node.ok());
  STRCMP_EQUAL("edge-1", node->mEntry.Node().c_str());
  CHECK_EQUAL(7720, node->mEntry.Link().Port());
  CHECK_EQUAL(6000, node->mEntry.Cell().MaxLease().Milliseconds());
  CHECK_EQUAL(60000, node->mEntry.Cell().OutcomeRetention().Milliseconds());
  CHECK_EQUAL(4500, node->mGrace.Milliseconds());
  CHECK_EQUAL(1500, node->mEntry.MembershipTtl().Milliseconds());
  CHECK_EQUAL(8169, node->mAdvice.Port());
}

TEST(Platform, EveryFaultOfTheSettingsIsFound)
{
  const auto node = ReadPlatformSettings("{}", 1);
  CHECK(!node.ok());
  const std::string found(node.status().message());
  for (const auto* place : { "listen.front", "listen.ready", "platform.address", "node_name" }) {
    CHECK(found.find(place) != std::string::npos);
  }
}

/// Each process of a node counted its calls from 1, so that the owner's answers to one process
/// matched calls of the next.
TEST(Platform, CallsOfTwoProcessesHaveDifferentNumbers)
{
  constexpr std::uint64_t kMostCalls = 0xffffffff;
  CHECK(CallNumberBase(7) + kMostCalls < CallNumberBase(8) + 1);
  CHECK(CallNumberBase(0x1234567800000007) + 1 != CallNumberBase(0x1234567800000008) + 1);
}

TEST(Platform, JobIsDecodedIntoTheProductsTerms)
{
  const auto job = DecodeJob(R"({"spec":"text","steps":[
    {"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,"affinity":"r1-3","anti_affinity":2},
    {"count":2,"cpu":2000,"gang":true,"same_rack":true,"after":[0],"checkpointing":true,
     "long_running":true,"target_ms":80,"fills":true,"may_miss":1,"required_label":"a"}],
    "repeats":3,"start_at_ms":1700000000000,"interval_ms":5000})");
  CHECK(job.ok());
  CHECK_EQUAL(2, job->Steps().size());
  CHECK_EQUAL(2, job->Steps()[0].SpreadLimit());
  STRCMP_EQUAL("r1-3", job->Steps()[0].DataRack().Text().c_str());
  CHECK(job->Steps()[1].Scavenging());
  CHECK_EQUAL(1, job->Steps()[1].DisruptionBudget());
  CHECK_EQUAL(80, job->Steps()[1].TailTarget().Milliseconds());
  CHECK_EQUAL(3, job->Occurrences());
}

TEST(Platform, BodyThatIsNoJobIsAFinding)
{
  CHECK(!DecodeJob("{").ok());
  CHECK(!DecodeJob(R"({"spec":"x"})").ok());
  CHECK(!DecodeJob(R"({"spec":"x","steps":[{"count":0}]})").ok());
  CHECK(!DecodeJob(R"({"spec":"x","steps":[{"count":1,"after":[-1]}]})").ok());
}

TEST(Platform, ListsOfAWorkerAreDecoded)
{
  const auto lists = DecodeLists(
    R"({"clock_ms":482113,"born":12,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00aa",41,300]],
        "ended":[[58,"5c0e7a21d94b36f8.2.1.9",1,"broken",""]]})");
  CHECK(lists.ok());
  CHECK_EQUAL(17, lists->Running()[0].Task().Index());
  CHECK_EQUAL(41, lists->Running()[0].Percent());
  CHECK_EQUAL(2, lists->Ended()[0].Task().Occurrence());
  CHECK(lists->Ended()[0].End() == RunEnd::GangBroken);
}

TEST(Platform, ListsThatCantBeReadAreNotTakenForEmptyOnes)
{
  CHECK(!DecodeLists(R"({"clock_ms":1,"ended":[[58,"x",1,"done",""]]})").ok());
  CHECK(!DecodeLists(R"({"clock_ms":1,"ended":[[58,"5c0e7a21d94b36f8.2.1.9",1,"odd",""]]})").ok());
}

/// Runs that a report does not list count as ended, so a report without one of its lists is none.
TEST(Platform, ListThatIsLeftOutIsNotTakenForAnEmptyOne)
{
  CHECK(DecodeLists(R"({"clock_ms":1,"running":[],"ended":[]})").ok());
  CHECK(!DecodeLists(R"({"clock_ms":1,"ended":[]})").ok());
  CHECK(!DecodeLists(R"({"clock_ms":1,"running":[]})").ok());
  CHECK(!DecodeLists(R"({"clock_ms":1,"running":{},"ended":[]})").ok());
}

TEST(Platform, EntryOfAnotherWriterNamesNoWorker)
{
  const char* good = R"({"service":"s","address":"10.1.1.1:80","state":"ready",
                         "capacity":{"cpu":1,"mem_mb":2,"gpu":0},"labels":["a","r1-3"],"born":5})";
  const auto worker = DecodeRegistration("i-1", good);
  CHECK(worker.ok());
  STRCMP_EQUAL("r1-3", worker->Rack().Text().c_str());
  CHECK(!DecodeRegistration("i-1", "\x01\x02").ok());
  CHECK(!DecodeRegistration("i-1", R"({"service":"s","address":5,"state":"ready"})").ok());
  CHECK(!DecodeRegistration("i-1", R"({"service":"s","address":"10.1.1.1:80","state":"odd",
                                       "capacity":{}})")
           .ok());
}

TEST(Platform, ConfigurationIsDecoded)
{
  const auto config = DecodeConfig(
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/q/","service":"s",
        "slo_ms":1000,"priority":1,"max_attempts":2,"stretch":2.2,
        "advice":{"decision_ms":360.0,"period_ms":5.1,"valid_ms":2000}}],
        "services":[{"name":"s","enforces_capacity":true,"standby":true}],
        "limits":{"max_body_bytes":100}})");
  CHECK(config.ok());
  const auto& queue = config->Queues()[0];
  CHECK_EQUAL(360000, queue.Advice()->DecisionUs());
  CHECK_EQUAL(5100, queue.Advice()->WorkerUs());
  CHECK_EQUAL(1000, queue.Slack().Milliseconds());
  CHECK(config->Pools()[0].GuardsCapacity());
  CHECK_EQUAL(100, config->BodyLimit());
}

TEST(Platform, CallThatGotNoAnswerIsNeverTakenForARefusal)
{
  const auto lost = HttpResult::Create({ .mOutcome = CallOutcome::Lost }).value();
  const auto unsent = HttpResult::Create({ .mOutcome = CallOutcome::NotSent }).value();
  CHECK(StoreOutcomeOf(lost) == StoreOutcome::Unanswered);
  CHECK(StoreOutcomeOf(unsent) == StoreOutcome::Refused);
  CHECK(OrderOutcomeOf(lost) == OrderOutcome::Unanswered);
  CHECK(OrderOutcomeOf(unsent) == OrderOutcome::NotSent);
}

/// A status that the platform does not use for refusals was taken for one: a run that had begun was
/// placed again, and a job that was stored was said to be refused.
TEST(Platform, StatusThatMayFollowAnEffectIsNeverTakenForARefusal)
{
  for (const auto status : { 201, 204, 302, 500, 502, 504 }) {
    CHECK(OrderOutcomeOf(Answered(status)) == OrderOutcome::Unanswered);
    CHECK(StoreOutcomeOf(Answered(status)) == StoreOutcome::Unanswered);
    CHECK(UpkeepOutcomeOf(Answered(status)) == MaintenanceOutcome::Unanswered);
  }
}

TEST(Platform, StatusOfTheStoreIsUnderstood)
{
  CHECK(StoreOutcomeOf(Answered(200)) == StoreOutcome::Done);
  CHECK(StoreOutcomeOf(Answered(412, R"({"end":5})")) == StoreOutcome::Conflict);
  CHECK(StoreOutcomeOf(Answered(409, R"({"reason":"fenced"})")) == StoreOutcome::Fenced);
  CHECK(StoreOutcomeOf(Answered(409, R"({"reason":"seq"})")) == StoreOutcome::Conflict);
  CHECK(StoreOutcomeOf(Answered(429)) == StoreOutcome::Refused);
  CHECK(StoreOutcomeOf(Answered(503)) == StoreOutcome::Refused);
  CHECK(StoreOutcomeOf(Answered(507)) == StoreOutcome::Refused);
}

TEST(Platform, StatusOfAWorkerIsUnderstood)
{
  CHECK(OrderOutcomeOf(Answered(200)) == OrderOutcome::Accepted);
  CHECK(OrderOutcomeOf(Answered(409, R"({"reason":"fence"})")) == OrderOutcome::Fenced);
  CHECK(OrderOutcomeOf(Answered(409, R"({"reason":"old"})")) == OrderOutcome::Obsolete);
  CHECK(OrderOutcomeOf(Answered(409, R"({"reason":"late"})")) == OrderOutcome::LeaseExpired);
  CHECK(OrderOutcomeOf(Answered(409, R"({"reason":"room"})")) == OrderOutcome::NoCapacity);
  CHECK(OrderOutcomeOf(Answered(409, R"({"reason":"ticket"})")) == OrderOutcome::NoTicket);
  CHECK(OrderOutcomeOf(Answered(421)) == OrderOutcome::WrongWorker);
  CHECK(OrderOutcomeOf(Answered(503)) == OrderOutcome::Unhealthy);
  CHECK(OrderOutcomeOf(Answered(400)) == OrderOutcome::Malformed);
}

TEST(Platform, WaveOfUpkeepIsDecoded)
{
  const auto wave = DecodeWave(R"({"wave":3,"machines":["a","b"],"within_s":1.5,"max_count":2})");
  CHECK(wave.ok());
  CHECK_EQUAL(3, wave->Number());
  CHECK_EQUAL(2, wave->Machines().size());
  CHECK(wave->Within() == Time::FromMilliseconds(1500));
  CHECK_EQUAL(2, wave->Limit());
  CHECK(!DecodeWave(R"({"machines":["a"]})").ok());
}

TEST(Platform, AnswerToAnOrderForAMachineIsUnderstood)
{
  CHECK(UpkeepOutcomeOf(Answered(200)) == MaintenanceOutcome::Started);
  CHECK(UpkeepOutcomeOf(Answered(409, R"({"reason":"fence"})")) == MaintenanceOutcome::Fenced);
  CHECK(UpkeepOutcomeOf(Answered(409, R"({"reason":"busy"})")) == MaintenanceOutcome::Busy);
  CHECK(UpkeepOutcomeOf(Answered(409, R"({"reason":"wave"})")) == MaintenanceOutcome::NotInWave);
  CHECK(UpkeepOutcomeOf(Answered(400)) == MaintenanceOutcome::NoMachine);
  CHECK(UpkeepOutcomeOf(Answered(429)) == MaintenanceOutcome::Refused);
}

TEST(Platform, RecordsOfATopicComeBackAsTheyWereFramed)
{
  std::string bytes(15, '\0');
  bytes += '\x02';
  bytes[7] = '\x05';
  bytes += FrameRecord({ "key", "value" }) + FrameRecord({ "gone", std::nullopt });
  const auto piece = ParsePiece(bytes);
  CHECK(piece.ok());
  CHECK_EQUAL(5, piece->mEnd);
  CHECK_EQUAL(2, piece->mRecords.size());
  STRCMP_EQUAL("value", piece->mRecords[0].mValue->c_str());
  CHECK(!piece->mRecords[1].mValue);
}

TEST(Platform, BrokenPieceOfATopicIsRefused)
{
  CHECK(!ParsePiece("short").ok());
  std::string bytes(16, '\0');
  CHECK(!ParsePiece(bytes + FrameRecord({ "key", "value" }).substr(0, 6)).ok());
}

TEST(Platform, OrdersAreEncoded)
{
  const auto task =
    JobTaskKey::Create({ .mJob = "5c0e7a21d94b36f8", .mOccurrence = 0, .mStep = 1, .mIndex = 17 })
      .value();
  STRCMP_EQUAL(
    R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","until_ms":486000,"fencing_token":7,"checkpoint":"0b","ticket":"c8"})",
    EncodeStart(StartRun::Create({ .mWorker = "w",
                                   .mEndpoint = {},
                                   .mTask = task,
                                   .mRun = 2,
                                   .mPayload = "text",
                                   .mLeaseUntil = Time::FromMilliseconds(486000),
                                   .mEpoch = 7,
                                   .mCheckpoint = "0b",
                                   .mTicket = "c8" })
                  .value())
      .c_str());
  STRCMP_EQUAL(R"({"fencing_token":7,"acked_through":57,"until_ms":486000,"wait_ms":1000})",
               EncodeLook(PollWorker::Create({ .mWorker = "w",
                                               .mEndpoint = {},
                                               .mEpoch = 7,
                                               .mAcknowledged = 57,
                                               .mLeaseUntil = Time::FromMilliseconds(486000),
                                               .mWait = Time::FromMilliseconds(1000) })
                            .value())
                 .c_str());
}

TEST(Platform, AnswersToCallersAreEncoded)
{
  CHECK_EQUAL(503, StatusOf(JobCallOutcome::Refused));
  CHECK_EQUAL(504, StatusOf(JobCallOutcome::Uncertain));
  CHECK_EQUAL(410, StatusOf(JobCallOutcome::UnknownJob));
  CHECK_EQUAL(404, StatusOf(JobCallOutcome::UnknownQueue));
  STRCMP_EQUAL(
    R"({"state":"running"})",
    EncodeReply(
      JobReply::Create({ .mOutcome = JobCallOutcome::Shown, .mState = JobState::Running }).value())
      .c_str());
  STRCMP_EQUAL(
    R"({"pending":12})",
    EncodeReply(JobReply::Create({ .mOutcome = JobCallOutcome::Counted, .mWaiting = 12 }).value())
      .c_str());
}

TEST(Platform, PageOfNewestRecordsIsReadInOrder)
{
  const auto page = ParseNewestPage(
    R"({"items":[{"key":"job/a","value":"AAEC","offset":7},{"key":"job/b","value":"","offset":9}],
        "more_pages":true,"end":12})");
  CHECK(page.ok());
  CHECK_EQUAL(12, page->mEnd);
  CHECK(page->mHasMore);
  CHECK_EQUAL(2, page->mRecords.size());
  CHECK(page->mRecords[0] == (TopicRecord{ "job/a", std::string("\0\1\2", 3) }));
  STRCMP_EQUAL("job/b", page->mRecords[1].mKey.c_str());
}

TEST(Platform, PageThatCannotBeReadIsAFinding)
{
  // A page that is read in part would lose jobs at a takeover.
  CHECK(!ParseNewestPage("").ok());
  CHECK(!ParseNewestPage("[]").ok());
  CHECK(!ParseNewestPage(R"({"more_pages":false,"end":3})").ok());
  CHECK(!ParseNewestPage(R"({"items":[{"key":"job/a","value":"*"}],"end":3})").ok());
  CHECK(!ParseNewestPage(R"({"items":[{"key":"job/a","val)").ok());
}
