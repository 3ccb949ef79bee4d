// Nodes of two versions read the same log and talk over the same links. If an encoder writes other
// bytes than the stream archive of cereal did, a successor can't restore the cell.

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include <CppUTest/TestHarness.h>

#include "absl/strings/escaping.h"

#include "by_links/by_links.h"
#include "by_wire/generated/cell_cereal.h"

using namespace by;

namespace {

/// @returns the bytes that cereal's own archive writes.
template<class T>
std::string
ReferenceBytes(const T& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
}

CellClaim
Claim()
{
  return CellClaim::Create(
           { .mEpoch = 7,
             .mNode = "n1",
             .mIncarnation = 3,
             .mLink = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 7000 }).value() })
    .value();
}

CellRequest
Submission()
{
  auto queue = QueuePolicy::Create({ .mHost = "h",
                                     .mPathPrefix = "/q/",
                                     .mPool = "pool",
                                     .mPriority = 1,
                                     .mMaxAttempts = 2,
                                     .mSlowdownLimit = 1.5,
                                     .mAdvice = std::nullopt })
                 .value();
  auto step = JobStep::Create({ .mCount = 3 }).value();
  auto job = JobDefinition::Create({ .mPayload = std::string("\0p", 2), .mSteps = { step, step } });
  return CellRequest::Create({ .mCall = 1ULL << 40,
                               .mKind = JobCallKind::Submit,
                               .mQueue = queue,
                               .mJob = "26bedc967e9c654e",
                               .mDefinition = *std::move(job) })
    .value();
}

/// Records with text, numbers, times and values that are absent.
std::vector<CellRecord>
Records()
{
  const auto wrap = [](auto aBody) {
    return CellRecord::Create({ .mBody = std::move(aBody) }).value();
  };
  return {
    wrap(Job::Create({ .mId = "26bedc967e9c654e",
                       .mQueue = Submission().Queue(),
                       .mDefinition = *Submission().Definition(),
                       .mAccepted = Time::FromMilliseconds(1782945360392) })
           .value()),
    wrap(JobOutcome::Create({ .mJob = "26bedc967e9c654e" }).value()),
    wrap(OccurrenceProgress()),
    wrap(TaskRecord()),
  };
}

std::vector<LinkMessage>
Messages()
{
  const auto wrap = [](auto aBody) {
    return LinkMessage::Create({ .mBody = std::move(aBody) }).value();
  };
  auto answer = WorkerAnswer::Create(
                  { .mBody = StartAnswered::Create({ .mWorker = "w1", .mNumber = 9 }).value() })
                  .value();
  return {
    wrap(Submission()),
    wrap(LinkHeartbeat::Create({ .mEpoch = 2, .mOwner = true, .mStoreLost = true }).value()),
    wrap(LinkHello::Create({ .mNode = "n1", .mIncarnation = 5, .mZone = ZoneId("a") }).value()),
    wrap(RelayAnswers::Create({ .mAnswers = { answer, answer } }).value()),
    wrap(JobReply::Create({ .mCall = 3, .mOutcome = JobCallOutcome::Refused }).value()),
  };
}

} // namespace

TEST_GROUP(RecordCodec){};

TEST(RecordCodec, BytesAreThoseOfTheStreamArchive)
{
  CHECK(ReferenceBytes(Claim()) == EncodeClaim(Claim()));
  for (const auto& record : Records()) {
    CHECK(ReferenceBytes(record) == EncodeRecord(record));
  }
  for (const auto& message : Messages()) {
    CHECK(ReferenceBytes(message) == EncodeMessage(message));
  }
}

TEST(RecordCodec, BytesOfAClaimStayAsTheyWere)
{
  STRCMP_EQUAL("01070000000000000002000000000000006e310300000000000000"
               "09000000000000003132372e302e302e31581b000000000000",
               absl::BytesToHexString(EncodeClaim(Claim())).c_str());
}

TEST(RecordCodec, DecodesWhatItEncodes)
{
  CHECK(Claim() == DecodeClaim(EncodeClaim(Claim())).value());
  for (const auto& record : Records()) {
    CHECK(record == DecodeRecord(EncodeRecord(record)).value());
  }
  for (const auto& message : Messages()) {
    CHECK(message == DecodeMessage(EncodeMessage(message)).value());
  }
}

TEST(RecordCodec, RejectsBytesThatEndEarlyOrAreLeftOver)
{
  for (const auto& message : Messages()) {
    const auto bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)).ok());
    }
    CHECK_FALSE(DecodeMessage(bytes + "x").ok());
  }
}

TEST(RecordCodec, RejectsALengthThatNoMessageHas)
{
  auto bytes = EncodeClaim(Claim());
  bytes.replace(9, 8, 8, '\xff');
  CHECK_FALSE(DecodeClaim(bytes).ok());
}
