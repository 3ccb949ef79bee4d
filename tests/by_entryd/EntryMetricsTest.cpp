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
