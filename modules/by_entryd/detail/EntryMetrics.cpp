#include "by_entryd/detail/EntryMetrics.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "by_entryd/detail/DetailText.h"
#include "by_entryd/detail/RefusalsOf.h"

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

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;

CounterFamily&
AddFamily(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

/// @returns the counter of a label's value, which is made at its first use.
prometheus::Counter&
OfLabel(CounterFamily& aFamily,
        std::map<std::string_view, prometheus::Counter*>& aCounters,
        const char* aLabel,
        const char* aValue)
{
  auto& counter = aCounters[aValue];
  if (counter == nullptr) {
    counter = &aFamily.Add({ { aLabel, aValue } });
  }
  return *counter;
}

GaugeFamily&
AddGauges(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

void
Set(prometheus::Gauge& aGauge, std::uint64_t aValue)
{
  aGauge.Set(static_cast<double>(aValue));
}

/// @returns the counter of a kind of event, which is made at its first use.
prometheus::Counter&
OfKind(CounterFamily& aFamily,
       std::map<std::string_view, prometheus::Counter*>& aCounters,
       const char* aKind)
{
  return OfLabel(aFamily, aCounters, "kind", aKind);
}

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
  , mHandled(&AddFamily(*mRegistry,
                        "bergamotyard_handled_events_total",
                        "Events that the control thread handled, by kind"))
  , mDropped(&AddFamily(*mRegistry,
                        "bergamotyard_dropped_events_total",
                        "Events that were dropped before the control thread handled them, by kind"))
  , mProcessorTime(&AddFamily(*mRegistry,
                              "bergamotyard_control_processor_seconds_total",
                              "Processor time of the control thread for sampled events, by kind"))
  , mProcessorSamples(&AddFamily(*mRegistry,
                                 "bergamotyard_control_processor_samples_total",
                                 "Events whose processor time was sampled, by kind"))
  , mRefusedConnections(
      &AddFamily(*mRegistry,
                 "bergamotyard_refused_connections_total",
                 "Connections of callers that a limit refused or closed, by reason"))
  , mQueueDelay(&prometheus::BuildHistogram()
                   .Name("bergamotyard_queue_delay_seconds")
                   .Help("Longest wait of an event for the control thread, at each batch")
                   .Register(*mRegistry)
                   .Add({}, kBounds))
  , mRefusedCalls(&AddFamily(*mRegistry,
                             "bergamotyard_refused_calls_total",
                             "Calls refused because of a key, a quota or a rate, by reason"))
  , mConfigVersion(&AddGauges(*mRegistry,
                              "bergamotyard_config_version",
                              "Version of the configuration in force; 0 without one")
                      .Add({}))
  , mConfigAge(&AddGauges(*mRegistry,
                          "bergamotyard_config_confirmed_age_seconds",
                          "Time since the configuration was confirmed to be the newest one")
                  .Add({}))
  , mTeamCount(
      &AddGauges(*mRegistry, "bergamotyard_teams", "Teams of the configuration in force").Add({}))
  , mKeyCount(
      &AddGauges(*mRegistry, "bergamotyard_keys", "Keys of the configuration in force").Add({}))
  , mOwnsCell(&AddGauges(*mRegistry,
                         "bergamotyard_owns_cell",
                         "Whether this node owns the cell, and so knows the work of its teams")
                 .Add({}))
  , mTeams(*mRegistry)
{
  for (const auto reason : kRefusalReasons) {
    mRefusedCallsByReason[reason] = &mRefusedCalls->Add({ { "reason", std::string(reason) } });
  }
  auto& messages =
    AddFamily(*mRegistry, "bergamotyard_link_messages_total", "Messages over links, by direction");
  auto& bytes =
    AddFamily(*mRegistry, "bergamotyard_link_bytes_total", "Bytes over links, by direction");
  const auto countersOf = [&](const char* aDirection) {
    return LinkCounters{ .mMessages = &messages.Add({ { "direction", aDirection } }),
                         .mBytes = &bytes.Add({ { "direction", aDirection } }) };
  };
  mReceived = countersOf("received");
  mSent = countersOf("sent");
}

EntryMetrics::~EntryMetrics() = default;

void
EntryMetrics::Count(const LogLine& aLine)
{
  auto& counters = mLines[aLine.Event()];
  if (counters.mLines == nullptr) {
    counters.mLines = &mEvents->Add({ { "event", aLine.Event() } });
    counters.mMayReportRefusals = MayReportRefusals(aLine.Event());
    const auto* timed = std::find_if(std::begin(kTimed), std::end(kTimed), [&](const auto& aTimed) {
      return aLine.Event() == aTimed.mEvent;
    });
    if (timed != std::end(kTimed)) {
      counters.mTimeKey = timed->mKey;
      counters.mTime = &mTimes->Add({ { "stage", timed->mStage } }, kBounds);
    }
  }
  counters.mLines->Increment();
  if (counters.mTime != nullptr) {
    if (const auto ms = FindNumber(aLine.Detail(), counters.mTimeKey)) {
      counters.mTime->Observe(static_cast<double>(*ms) / kMillisInSecond);
    }
  }
  if (counters.mMayReportRefusals) {
    CountRefusals(aLine);
  }
}

void
EntryMetrics::CountRefusals(const LogLine& aLine)
{
  for (const auto& refusal : RefusalsOf(aLine)) {
    mRefusedCallsByReason[refusal.mReason]->Increment(static_cast<double>(refusal.mCount));
    mTeams.Count(refusal);
  }
}

void
EntryMetrics::Observe(const ConfigSample& aSample)
{
  Set(*mConfigVersion, aSample.mVersion);
  mConfigAge->Set(static_cast<double>(aSample.mConfirmedAge.Milliseconds()) / kMillisInSecond);
  Set(*mTeamCount, aSample.mTeams.size());
  Set(*mKeyCount, aSample.mKeys);
  Set(*mOwnsCell, aSample.mOwnsCell ? 1 : 0);
  mTeams.Observe(aSample.mTeams);
}

void
EntryMetrics::CountHandled(const char* aKind)
{
  OfKind(*mHandled, mHandledByKind, aKind).Increment();
}

void
EntryMetrics::CountDropped(const char* aKind)
{
  OfKind(*mDropped, mDroppedByKind, aKind).Increment();
}

void
EntryMetrics::ObserveQueueDelay(Time aDelay)
{
  mQueueDelay->Observe(static_cast<double>(aDelay.Milliseconds()) / kMillisInSecond);
}

void
EntryMetrics::ObserveProcessorTime(const char* aKind, std::chrono::nanoseconds aTime)
{
  OfKind(*mProcessorTime, mTimeByKind, aKind)
    .Increment(std::chrono::duration<double>(aTime).count());
  OfKind(*mProcessorSamples, mSamplesByKind, aKind).Increment();
}

void
EntryMetrics::CountLink(LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes)
{
  const auto& counters = aDirection == LinkDirection::Received ? mReceived : mSent;
  counters.mMessages->Increment(static_cast<double>(aMessages));
  counters.mBytes->Increment(static_cast<double>(aBytes));
}

void
EntryMetrics::CountRefusal(const char* aReason)
{
  OfLabel(*mRefusedConnections, mRefusedConnectionsByReason, "reason", aReason).Increment();
}

std::string
EntryMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace by::detail
