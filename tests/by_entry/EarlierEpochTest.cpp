// A node that lost the cell and claimed it again took answers to its earlier orders for answers of
// the present epoch: a worker that refused an order as one of an earlier owner made it give the
// cell up once more.

#include <CppUTest/TestHarness.h>

#include "by_cell/OrderNumber.h"
#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr std::uint64_t kEarlier = 3;
constexpr std::uint64_t kPresent = 5;
/// After this an elected node claims the cell of an owner that it has no link to.
constexpr Time kOwnerLost = Time::FromMilliseconds(500);

/// An owner that has one worker and owned the cell before.
struct OwnerAgain : EntryFixture
{
  OwnerAgain()
  {
    Configure();
    BecomeOwner(kEarlier);
    SetRemoteOwner(kEarlier + 1);
    Deliver(LinkChanged::Create({ .mPeer = mState.mOwner->Link(), .mUp = false }).value());
    Advance(kOwnerLost);
    BecomeOwner(kPresent);
    auto worker =
      WorkerRegistration::Create(
        { .mId = "w1",
          .mPool = "pool",
          .mEndpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 }).value(),
          .mCapacity = Resources::Create({ .mCpuMillis = 8000 }).value() })
        .value();
    Deliver(
      WorkersChanged::Create({ .mComplete = true, .mPresent = { std::move(worker) } }).value());
    Advance(Time::FromMilliseconds(50));
  }

  bool IsOwner() const { return mState.mPhase == OwnerPhase::Owner && mState.mEpoch == kPresent; }

  void AnswerPoll(std::uint64_t aNumber, OrderOutcome aOutcome)
  {
    Deliver(
      WorkerPolled::Create({ .mWorker = "w1", .mOutcome = aOutcome, .mNumber = aNumber }).value());
  }
};

} // namespace

TEST_GROUP(EarlierEpoch){};

TEST(EarlierEpoch, OrdersCarryTheirEpoch)
{
  OwnerAgain owner;
  CHECK(owner.IsOwner());
  const auto polls = owner.Take<PollWorker>();
  CHECK_FALSE(polls.empty());
  CHECK_EQUAL(OrderNumber(kPresent), polls.back().Number());
}

TEST(EarlierEpoch, RefusalOfAnEarlierOrderDoesNotEndThePresentOwnership)
{
  OwnerAgain owner;
  owner.AnswerPoll(OrderNumber(kEarlier), OrderOutcome::Fenced);
  CHECK(owner.IsOwner());
  owner.AnswerPoll(OrderNumber(kPresent), OrderOutcome::Fenced);
  CHECK_FALSE(owner.IsOwner());
}

TEST(EarlierEpoch, EarlierReportDoesNotCountAsOneOfThisEpoch)
{
  OwnerAgain owner;
  owner.AnswerPoll(OrderNumber(kEarlier), OrderOutcome::Accepted);
  CHECK(owner.mState.mCell->mWorkers.at("w1").mHealth == WorkerHealth::Unseen);
  owner.AnswerPoll(OrderNumber(kPresent), OrderOutcome::Accepted);
  CHECK(owner.mState.mCell->mWorkers.at("w1").mHealth == WorkerHealth::Reachable);
}

TEST(EarlierEpoch, AnswerToAnEarlierMaintenanceOrderIsDropped)
{
  OwnerAgain owner;
  owner.Take<LogLine>();
  owner.Deliver(
    MaintenanceAnswered::Create(
      { .mMachine = "m1", .mWave = 1, .mOutcome = MaintenanceOutcome::Fenced, .mEpoch = kEarlier })
      .value());
  const auto lines = owner.Take<LogLine>();
  CHECK_FALSE(lines.empty());
  STRCMP_EQUAL("answer.outdated", lines.front().Event().c_str());
  CHECK(owner.IsOwner());
}
