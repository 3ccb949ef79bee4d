#include "by_cell/CellFixture.h"
#include "by_cell/TakeAll.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// Process starts later and earlier than that of the fixture's worker.
constexpr Time kLater = Time::FromMilliseconds(7777);
constexpr Time kEarlier = Time::FromMilliseconds(500);

WorkerRegistration
EntryOf(const CellFixture& aCell, Time aProcessStart)
{
  return aCell.mCell.mWorkers.at("w1").mRegistration.WithProcessStart(aProcessStart);
}

/// Fails a poll, and sends the next one.
void
PollFails(CellFixture& aCell, OrderOutcome aOutcome)
{
  HandlePolled(aCell.mCell,
               WorkerPolled::Create({ .mWorker = "w1", .mOutcome = aOutcome }).value(),
               aCell.mNow,
               aCell.mOut);
  aCell.AdvanceTime(Time::FromMilliseconds(200));
}

} // namespace

TEST_GROUP(Incarnations){};

// The registry's entry of a process whose time of day had been set back was ignored for good, and
// with it that process' state, capacity and address.
TEST(Incarnations, ProcessWhoseTimeOfDayWasSetBackIsUsedOnceItHasAnswered)
{
  CellFixture cell(1);
  const auto small = Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 1024 }).value();
  cell.TakePolls();
  cell.ReadRegistry({ EntryOf(cell, kEarlier).WithCapacity(small) });
  cell.Advance();
  CHECK_EQUAL(1, cell.TakePolls().size());
  cell.Poll("w1", {}, {}, kEarlier);
  cell.Submit("j", { CellFixture::Step(2) });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK(starts.front().ProcessStart() == kEarlier);
}

TEST(Incarnations, ProcessWhoseTimeOfDayWasSetBackIsFoundAtAnotherAddress)
{
  CellFixture cell(1);
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kEarlier).WithEndpoint(endpoint) });
  cell.Advance();
  cell.TakePolls();
  PollFails(cell, OrderOutcome::Unanswered);
  const auto polls = cell.TakePolls();
  CHECK_EQUAL(1, polls.size());
  CHECK(polls.front().Endpoint() == endpoint);
  cell.Poll("w1", {}, {}, kEarlier);
  cell.Submit("j", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().front().Endpoint() == endpoint);
}

TEST(Incarnations, ProcessWhoseTimeOfDayWasSetBackIsFoundWhereAnotherWorkerAnswers)
{
  CellFixture cell(1);
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kEarlier).WithEndpoint(endpoint) });
  cell.Advance();
  cell.TakePolls();
  PollFails(cell, OrderOutcome::WrongWorker);
  const auto polls = cell.TakePolls();
  CHECK_EQUAL(1, polls.size());
  CHECK(polls.front().Endpoint() == endpoint);
}

// An entry that is left over may show an address that another worker has taken.
TEST(Incarnations, AnswerAtTheAddressOfADoubtfulEntryDoesNotRetireTheWorker)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kEarlier).WithEndpoint(endpoint) });
  PollFails(cell, OrderOutcome::Unanswered);
  PollFails(cell, OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
  cell.Poll("w1", { CellFixture::Running(run) }, {});
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
}

// The answer to a poll at the address of a doubtful entry came after the entry was dropped, and was
// taken for one from the worker's own address.
TEST(Incarnations, AnswerAtTheAddressOfAnEntryDroppedMeanwhileDoesNotRetireTheWorker)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  const auto current = cell.mCell.mWorkers.at("w1").mRegistration;
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kEarlier).WithEndpoint(endpoint) });
  PollFails(cell, OrderOutcome::Unanswered);
  CHECK(cell.TakePolls().back().Endpoint() == endpoint);
  cell.ReadRegistry({ current });
  PollFails(cell, OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
}

// The entry of a former process whose time of day had been ahead was taken for a new process, and
// the runs of the living one were ended while they ran.
TEST(Incarnations, LeftOverEntryOfAProcessThatSeemsYoungerEndsNoRuns)
{
  CellFixture cell(1);
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Poll("w1", {}, {}, kLater);
  const auto left = EntryOf(cell, kLater);
  cell.ReadRegistry({ EntryOf(cell, kEarlier) });
  cell.Poll("w1", {}, {}, kEarlier);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.ReadRegistry({ left.WithDraining(true) });
  CHECK(cell.mCell.mWorkers.at("w1").mProcessStart == kEarlier);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
}

// The late answer to an order for the earlier process, from where another worker answers by then,
// ended the runs of the current process while they ran.
TEST(Incarnations, LateAnswersToOrdersForAnEarlierProcessDoNotRetireTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kLater).WithEndpoint(endpoint) });
  cell.Poll("w1", {}, {}, kLater);
  cell.Submit("k", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("k", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mHealth == WorkerHealth::Reachable);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
}

TEST(Incarnations, LateAnswersToStartsForAnEarlierProcessSayNothingOfTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Poll("w1", {}, {}, kLater);
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::NoCapacity);
  cell.Started("w1", CellFixture::Run("j", 1, 1), OrderOutcome::Unanswered);
  const auto& worker = cell.mCell.mWorkers.at("w1");
  CHECK(worker.mQuarantinedUntil == Time());
  CHECK(worker.mSilentSince == Time::Never());
  CHECK(!worker.mRuns.contains(CellFixture::Run("j", 0, 1)));
  CHECK(worker.mRuns.contains(CellFixture::Run("j", 1, 1)));
}

TEST(Incarnations, LateAnswerToAStopForAnEarlierProcessDoesNotRetireTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStops().size());
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Stopped("w1", run, OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mHealth != WorkerHealth::LeaseExpired);
}

// Between the answer of a new process and its entry the worker's former capacity and labels were
// taken for those of the process, which may be of another kind.
TEST(Incarnations, ProcessGetsNoStartsBeforeItsEntryIsRead)
{
  CellFixture cell(1);
  cell.Poll("w1", {}, {}, kLater);
  cell.Submit("j", { CellFixture::Step(4) });
  CHECK(cell.TakeStarts().empty());
  const auto small = Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 1024 }).value();
  cell.ReadRegistry({ EntryOf(cell, kLater).WithCapacity(small) });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

// The records named two processes of a worker. The successor took the first for the current one and
// counted the change that its predecessor had seen as another crash, also of runs begun since.
TEST(Incarnations, SuccessorTakesTheLatestRecordedProcessForTheCurrentOne)
{
  CellFixture cell(1);
  cell.Submit("a", { CellFixture::Step(1) });
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Poll("w1", {}, {}, kLater);
  cell.Submit("b", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("b", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.StoreAll();
  auto next = cell.Successor();
  next.Poll("w1", { CellFixture::Running(run) }, {}, kLater);
  next.StoreAll();
  for (const auto& line : TakeAll<LogLine>(next.mOut)) {
    CHECK(line.Event() != "worker.crashed");
  }
  const auto& runs = next.mCell.mWorkers.at("w1").mRuns;
  CHECK(runs.contains(run));
  CHECK(!runs.contains(CellFixture::Run("a", 0, 1)));
}

// Each of the starts on a connection to the next process sent a poll of its own beside those that
// were unanswered, and one outage failed all of them.
TEST(Incarnations, StartsThatMeetTheNextProcessTogetherPollItOnce)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(3) });
  CHECK_EQUAL(3, cell.TakeStarts().size());
  cell.TakePolls();
  for (std::uint32_t n = 0; n < 3; ++n) {
    cell.Started("w1", CellFixture::Run("j", n, 1), OrderOutcome::OtherProcess);
    cell.Advance();
  }
  const auto polls = cell.TakePolls();
  CHECK_EQUAL(1, polls.size());
  for (const auto& poll : polls) {
    HandlePolled(
      cell.mCell,
      WorkerPolled::Create({ .mWorker = poll.Worker(), .mOutcome = OrderOutcome::Unanswered })
        .value(),
      cell.mNow,
      cell.mOut);
  }
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1").mPollFailures);
}
