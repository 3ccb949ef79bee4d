#include "by_telemetry/Metrics.h"

#include <string>
#include <utility>

#include <prometheus/text_serializer.h>

#include "absl/strings/str_cat.h"

#include "by_telemetry/MetricNames.h"
#include "by_telemetry/detail/MetricTables.h"

namespace by {

namespace {

constexpr double kMillisecondsInSecond = 1000.0;

/// Upper bounds in seconds: quotes must start within milliseconds, stragglers run for hours.
const prometheus::Histogram::BucketBoundaries kTimeBuckets{ 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                            0.1,   0.2,   0.5,   1,    1.5,  2,
                                                            5,     10,    30,    60,   300,  3600 };

std::string
FullName(std::string_view aName)
{
  return absl::StrCat("bergamotyard_", std::string(aName));
}

prometheus::Family<prometheus::Counter>&
CounterFamily(prometheus::Registry& aRegistry, const MetricText& aText)
{
  return prometheus::BuildCounter()
    .Name(FullName(aText.mName))
    .Help(std::string(aText.mHelp))
    .Register(aRegistry);
}

void
AddHistogram(detail::MetricTables& aTables, const MetricText& aText)
{
  auto& family = prometheus::BuildHistogram()
                   .Name(FullName(aText.mName))
                   .Help(std::string(aText.mHelp))
                   .Register(aTables.mRegistry);
  aTables.mHistograms.push_back(&family.Add({}, kTimeBuckets));
}

void
AddGauge(detail::MetricTables& aTables, const MetricText& aText)
{
  auto& family = prometheus::BuildGauge()
                   .Name(FullName(aText.mName))
                   .Help(std::string(aText.mHelp))
                   .Register(aTables.mRegistry);
  aTables.mGauges.push_back(&family.Add({}));
}

} // namespace

std::unique_ptr<Metrics>
Metrics::Create()
{
  auto tables = std::make_unique<detail::MetricTables>();
  for (const auto& text : kCounterTexts) {
    tables->mCounters.push_back(&CounterFamily(tables->mRegistry, text).Add({}));
  }
  for (const auto& text : kGaugeTexts) {
    AddGauge(*tables, text);
  }
  for (const auto& text : kHistogramTexts) {
    AddHistogram(*tables, text);
  }
  tables->mAnswers =
    &CounterFamily(tables->mRegistry, { "requests_total", "Requests by outcome and reason" });
  tables->mHttpReplies =
    &CounterFamily(tables->mRegistry, { "http_replies_total", "HTTP calls by status" });
  tables->mRefusedConnections =
    &CounterFamily(tables->mRegistry,
                   { "refused_connections_total",
                     "Connections of callers that a limit refused or closed, by reason" });
  return std::unique_ptr<Metrics>(new Metrics(std::move(tables)));
}

Metrics::Metrics(std::unique_ptr<detail::MetricTables> aTables)
  : mTables(std::move(aTables))
{
}

Metrics::~Metrics() = default;

void
Metrics::Add(CounterName aName, std::int64_t aAmount)
{
  mTables->mCounters[static_cast<std::size_t>(aName)]->Increment(static_cast<double>(aAmount));
}

void
Metrics::AddAnswer(Outcome aOutcome, Reason aReason)
{
  mTables->mAnswers
    ->Add({ { "outcome", std::string(ToString(aOutcome)) },
            { "reason", std::string(ToString(aReason)) } })
    .Increment();
}

void
Metrics::AddHttpReply(std::int64_t aStatus)
{
  mTables->mHttpReplies->Add({ { "status", std::to_string(aStatus) } }).Increment();
}

void
Metrics::AddRefusedConnection(const char* aReason)
{
  mTables->mRefusedConnections->Add({ { "reason", aReason } }).Increment();
}

void
Metrics::Set(GaugeName aName, double aValue)
{
  mTables->mGauges[static_cast<std::size_t>(aName)]->Set(aValue);
}

void
Metrics::Observe(HistogramName aName, Time aTime)
{
  const auto seconds = static_cast<double>(aTime.Milliseconds()) / kMillisecondsInSecond;
  mTables->mHistograms[static_cast<std::size_t>(aName)]->Observe(seconds);
}

std::string
Metrics::MetricsText() const
{
  return prometheus::TextSerializer().Serialize(mTables->mRegistry.Collect());
}

} // namespace by
