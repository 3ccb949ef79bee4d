#include "by_cell/GangPlay.h"
#include "by_cell/TakeDetails.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

OrderOutcome
RefuseAll(const StartRun&)
{
  return OrderOutcome::Unhealthy;
}

} // namespace

/// A gang had nothing running beside free capacity, and the log did not tell whether it waited for
/// capacity or for quarantined workers, nor which runs had led to the quarantine.
TEST_GROUP(GangQuarantine){};

TEST(GangQuarantine, LogNamesTheFailuresThatSetAWorkerAside)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  cell.Poll("w1",
            {},
            { CellFixture::Ended(1, CellFixture::Run("j", 1, 1), RunEnd::Failed),
              CellFixture::Ended(2, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  const auto lines = TakeDetails(cell.mOut, "worker.aside");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), " run=j.0.0.0#1 run_before=j.0.0.1#1"));
}

TEST(GangQuarantine, GangThatWaitsForCapacitySaysSo)
{
  GangPlay cell(1);
  cell.Submit("full", { CellFixture::Step(3) });
  cell.Submit("gang", { GangPlay::Gang(2) });
  const auto lines = TakeDetails(cell.mOut, "step.waiting");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), "for=capacity tasks=2 slots=0 "));
}

TEST(GangQuarantine, GangThatWaitsForAQuarantinedWorkerSaysSo)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseAll;
  cell.Submit("gang", { GangPlay::Gang(2) });
  cell.Play(Time::FromMilliseconds(200));
  const auto lines = TakeDetails(cell.mOut, "step.waiting");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), "for=probe tasks=2 slots=0 "));
  CHECK(Contains(lines.front(), " workers_aside=1 workers_to_probe=0 slots_aside=2"));
}
