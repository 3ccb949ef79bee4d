// The metrics that tell an owner that is behind from one whose link is full: a missing or renamed
// one leaves an operator without the cause.

#include <chrono>

#include <CppUTest/TestHarness.h>

#include "by_entryd/detail/EntryMetrics.h"

using namespace by;

namespace {

LogLine
Line(const char* aEvent, const char* aDetail)
{
  return LogLine::Create({ .mEvent = aEvent, .mSubject = "s", .mDetail = aDetail }).value();
}

} // namespace

TEST_GROUP(EntryMetrics)
{
  detail::EntryMetrics mMetrics;

  void CheckHas(const char* aText)
  {
    STRCMP_CONTAINS(aText, mMetrics.Text().c_str());
  }
};

TEST(EntryMetrics, CountsEventsByKind)
{
  mMetrics.CountHandled("tick");
  mMetrics.CountHandled("tick");
  mMetrics.CountDropped("member_request");
  CheckHas("bergamotyard_handled_events_total{kind=\"tick\"} 2\n");
  CheckHas("bergamotyard_dropped_events_total{kind=\"member_request\"} 1\n");
}

TEST(EntryMetrics, CountsLinksByDirection)
{
  mMetrics.CountLink(LinkDirection::Received, 3, 300);
  mMetrics.CountLink(LinkDirection::Sent, 2, 50);
  CheckHas("bergamotyard_link_messages_total{direction=\"received\"} 3\n");
  CheckHas("bergamotyard_link_bytes_total{direction=\"received\"} 300\n");
  CheckHas("bergamotyard_link_messages_total{direction=\"sent\"} 2\n");
  CheckHas("bergamotyard_link_bytes_total{direction=\"sent\"} 50\n");
}

TEST(EntryMetrics, ObservesDelaysAndProcessorTime)
{
  mMetrics.ObserveQueueDelay(Time::FromMilliseconds(150));
  mMetrics.ObserveProcessorTime("tick", std::chrono::milliseconds(250));
  CheckHas("bergamotyard_queue_delay_seconds_bucket{le=\"0.1\"} 0\n");
  CheckHas("bergamotyard_queue_delay_seconds_bucket{le=\"0.2\"} 1\n");
  CheckHas("bergamotyard_control_processor_seconds_total{kind=\"tick\"} 0.25\n");
  CheckHas("bergamotyard_control_processor_samples_total{kind=\"tick\"} 1\n");
}

TEST(EntryMetrics, CountsLinesAndTheStagesThatTheyTime)
{
  mMetrics.Count(Line("job.accepted", "sequence=423 stored_after_ms=509"));
  mMetrics.Count(Line("job.received", "stored_after_ms=1"));
  mMetrics.Count(Line("task.placed", "worker=w age_ms=30 free_cpu=600"));
  CheckHas("bergamotyard_events_total{event=\"job.accepted\"} 1\n");
  CheckHas("bergamotyard_events_total{event=\"job.received\"} 1\n");
  CheckHas("bergamotyard_stage_seconds_sum{stage=\"received_to_stored\"} 0.509\n");
  CheckHas("bergamotyard_stage_seconds_count{stage=\"received_to_stored\"} 1\n");
  CheckHas("bergamotyard_stage_seconds_sum{stage=\"received_to_placed\"} 0.03\n");
}

// An operator who asks why a team's calls fail needs the reason; without it, a withdrawn key, a
// node with an old configuration and a team over its rate look the same.
TEST(EntryMetrics, CountsRefusedCallsByReasonAndTeam)
{
  mMetrics.Observe({ .mVersion = 7, .mTeams = { { .mTeam = TeamId("a") } } });
  mMetrics.Count(Line("call.refused", "reason=unknown key config=4 confirmed_ms_ago=12"));
  mMetrics.Count(Line("key.refused", "unknown=5 unconfirmed=2 config=4 newest=4"));
  mMetrics.Count(Line("call.refused", "reason=configuration not confirmed config=4"));
  mMetrics.Count(Line("job.refused", "reason=step exceeds the team's quota team=a step=0"));
  mMetrics.Count(Line("job.refused", "reason=team over rate, many open jobs team=a unlogged=9"));
  mMetrics.Count(Line("job.refused", "reason=owner overloaded"));
  CheckHas("bergamotyard_refused_calls_total{reason=\"unauthorized\"} 6\n");
  CheckHas("bergamotyard_refused_calls_total{reason=\"unconfirmed\"} 3\n");
  CheckHas("bergamotyard_refused_calls_total{reason=\"quota\"} 1\n");
  CheckHas("bergamotyard_refused_calls_total{reason=\"rate\"} 10\n");
  CheckHas("bergamotyard_team_refused_calls_total{reason=\"rate\",team=\"a\"} 10\n");
  CheckHas("bergamotyard_team_refused_calls_total{reason=\"quota\",team=\"a\"} 1\n");
}

// Series of teams that no configuration lists would grow without bound where teams come and go.
TEST(EntryMetrics, ShowsTheTeamsOfTheConfigurationOnly)
{
  TeamSample team{ .mTeam = TeamId("a"), .mWeight = 3, .mEntitledPermille = 250 };
  team.mQuota = Resources().WithCpuMillis(8000);
  team.mUsage = Resources().WithCpuMillis(6500).WithMemoryMb(300);
  team.mWaitingSteps = 4;
  team.mOpenJobs = 2;
  mMetrics.Observe({ .mVersion = 7,
                     .mConfirmedAge = Time::FromMilliseconds(1500),
                     .mKeys = 9,
                     .mOwnsCell = true,
                     .mTeams = { team, { .mTeam = TeamId("b") } } });
  CheckHas("bergamotyard_config_version 7\n");
  CheckHas("bergamotyard_config_confirmed_age_seconds 1.5\n");
  CheckHas("bergamotyard_teams 2\n");
  CheckHas("bergamotyard_keys 9\n");
  CheckHas("bergamotyard_owns_cell 1\n");
  CheckHas("bergamotyard_team_weight{team=\"a\"} 3\n");
  CheckHas("bergamotyard_team_entitled_share{team=\"a\"} 0.25\n");
  CheckHas("bergamotyard_team_quota{resource=\"cpu_millis\",team=\"a\"} 8000\n");
  CheckHas("bergamotyard_team_usage{resource=\"memory_mb\",team=\"a\"} 300\n");
  CheckHas("bergamotyard_team_waiting_steps{team=\"a\"} 4\n");
  CheckHas("bergamotyard_team_open_jobs{team=\"a\"} 2\n");
  mMetrics.Observe({ .mVersion = 8, .mTeams = { { .mTeam = TeamId("b") } } });
  mMetrics.Count(Line("job.refused", "reason=team over rate, many open jobs team=a"));
  CHECK(mMetrics.Text().find("team=\"a\"") == std::string::npos);
  CheckHas("bergamotyard_team_weight{team=\"b\"} 0\n");
}
