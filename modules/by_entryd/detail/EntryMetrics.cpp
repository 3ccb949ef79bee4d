#include "by_entryd/detail/EntryMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace by::detail {

namespace {

constexpr double kMillisInSecond = 1000.0;
/// Bounds of the buckets, from a hop between nodes to the longest work. [s]
const prometheus::Histogram::BucketBoundaries kBounds{ 0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
                                                       0.5,   1.0,  2.0,  5.0,  10.0, 30.0 };

/// Which time in the detail of a line is worth a histogram.
struct TimedEvent
{
  const char* mEvent;
  const char* mKey;
  const char* mStage;
};

constexpr TimedEvent kTimed[] = {
  { "job.accepted", "stored_after_ms", "received_to_stored" },
  { "task.placed", "age_ms", "received_to_placed" },
  { "run.ended", "ran_ms", "ordered_to_ended" },
  { "job.ended", "age_ms", "received_to_ended" },
};

} // namespace

EntryMetrics::EntryMetrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mEvents(&prometheus::BuildCounter()
               .Name("bergamotyard_events_total")
               .Help("Decisions and changes of belief, by the event of their log line")
               .Register(*mRegistry))
  , mTimes(&prometheus::BuildHistogram()
              .Name("bergamotyard_stage_seconds")
              .Help("Time that jobs and runs took, by stage")
              .Register(*mRegistry))
{
}

EntryMetrics::~EntryMetrics() = default;

void
EntryMetrics::Count(const LogLine& aLine)
{
  auto& counter = mCounters[aLine.Event()];
  if (counter == nullptr) {
    counter = &mEvents->Add({ { "event", aLine.Event() } });
  }
  counter->Increment();
  for (const auto& timed : kTimed) {
    if (aLine.Event() != timed.mEvent) {
      continue;
    }
    for (const absl::string_view part : absl::StrSplit(aLine.Detail(), ' ')) {
      const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
      std::int64_t ms = 0;
      if (pair.first == timed.mKey && absl::SimpleAtoi(pair.second, &ms)) {
        auto& histogram = mHistograms[timed.mStage];
        if (histogram == nullptr) {
          histogram = &mTimes->Add({ { "stage", timed.mStage } }, kBounds);
        }
        histogram->Observe(static_cast<double>(ms) / kMillisInSecond);
      }
    }
  }
}

std::string
EntryMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace by::detail
