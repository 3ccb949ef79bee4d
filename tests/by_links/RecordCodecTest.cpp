// Nodes of two versions read the same log and talk over the same links. If an encoder writes other
// bytes than the stream archive of cereal did, a successor can't restore the cell.

#include <algorithm>
#include <cstdint>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include <CppUTest/TestHarness.h>

#include "absl/strings/escaping.h"

#include "by_links/by_links.h"
#include "by_links/detail/SplitMessages.h"
#include "by_wire/BinaryCodec.h"
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

/// Counts how often it is created.
struct CountedValue
{
  CountedValue() { ++sCreated; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }

  std::uint32_t mValue{ 0 };
  static inline std::size_t sCreated = 0;
};

/// Changes bytes in the ways in which a damaged or hostile peer does: single bytes, counts, cuts
/// and joined messages.
std::string
Damage(std::string aBytes, const std::string& aOther, std::mt19937& aRandom)
{
  const auto draw = [&](std::size_t aLimit) {
    return aRandom() % std::max<std::size_t>(1, aLimit);
  };
  for (auto changes = 1 + draw(3); changes > 0 && !aBytes.empty(); --changes) {
    const auto at = draw(aBytes.size());
    switch (draw(5)) {
      case 0:
        aBytes[at] = static_cast<char>(draw(256));
        break;
      case 1:
        aBytes.resize(at);
        break;
      case 2:
        aBytes.insert(at, aOther.substr(draw(aOther.size())));
        break;
      case 3:
        aBytes.replace(at, std::min<std::size_t>(8, aBytes.size() - at), 8, '\xff');
        break;
      default:
        aBytes.erase(at, 1 + draw(8));
    }
  }
  return aBytes;
}

} // namespace

TEST_GROUP(RecordCodec){};

/// A count in a damaged message made the decoder create that many elements before it read one.
TEST(RecordCodec, CountBeyondTheBytesCreatesNothing)
{
  auto bytes = EncodeBinary(std::vector<std::uint32_t>{ 1, 2, 3 });
  bytes.replace(1, 4, std::string("\x40\x42\x0f\x00", 4));
  CountedValue::sCreated = 0;
  CHECK_FALSE(DecodeBinary<std::vector<CountedValue>>(bytes).ok());
  CHECK(CountedValue::sCreated <= bytes.size());
  CHECK_FALSE(DecodeBinary<std::vector<std::uint32_t>>(bytes).ok());
  CHECK_FALSE(DecodeBinary<std::string>(bytes).ok());
}

/// What can be decoded of damaged bytes is a value like any other; the rest is an error.
TEST(RecordCodec, DamagedBytesAreAnErrorOrAValue)
{
  std::mt19937 random(20261205);
  std::vector<std::string> valid;
  for (const auto& message : Messages()) {
    valid.push_back(EncodeMessage(message));
  }
  for (const auto& record : Records()) {
    valid.push_back(EncodeRecord(record));
  }
  for (int n = 0; n < 20000; ++n) {
    const auto& first = valid[random() % valid.size()];
    const auto bytes = Damage(first, valid[random() % valid.size()], random);
    if (const auto message = DecodeMessage(bytes); message.ok()) {
      CHECK(DecodeMessage(EncodeMessage(*message)).value() == *message);
    }
    if (const auto record = DecodeRecord(bytes); record.ok()) {
      CHECK(DecodeRecord(EncodeRecord(*record)).value() == *record);
    }
  }
}

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

/// A configuration of the largest deployments is one message. Fails if a receiver takes it for a
/// broken one and drops the link, or if it is much larger than the rate at which an owner sends
/// configurations allows for.
TEST(RecordCodec, LargestConfigurationFitsIntoAMessage)
{
  constexpr std::size_t kQueues = 1400;
  constexpr std::size_t kUsualSize = 200 * kQueues;
  ClusterConfig::Fields fields{ .mVersion = 1 };
  for (std::size_t k = 0; k < kQueues; ++k) {
    const auto number = std::to_string(k);
    fields.mQueues.push_back(
      QueuePolicy::Create({ .mHost = "jobs-" + number + ".example",
                            .mPathPrefix = "/a-team-of-some-length/queue-" + number + "/",
                            .mPool = "pool-" + number,
                            .mPriority = 3,
                            .mMaxAttempts = 2,
                            .mSlowdownLimit = 2.2,
                            .mSlack = Time::FromMilliseconds(1000),
                            .mAdvice = AdvicePolicy() })
        .value());
  }
  for (std::size_t k = 0; k < 20; ++k) {
    fields.mTeams.push_back(TeamPolicy::Create({ .mName = TeamId("team-" + std::to_string(k)),
                                                 .mKeys = { std::string(20, 'k') },
                                                 .mWeight = 100 })
                              .value());
  }
  const auto message =
    LinkMessage::Create({ .mBody = ClusterConfig::Create(std::move(fields)).value() }).value();
  const auto bytes = EncodeMessage(message);
  CHECK(bytes.size() < detail::kMessageLimit / 4);
  CHECK(bytes.size() < kUsualSize);
  const auto read = DecodeMessage(bytes);
  CHECK(read.ok());
  CHECK(*read == message);
}
