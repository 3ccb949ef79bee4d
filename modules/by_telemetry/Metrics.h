#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "by_core/Time.h"
#include "by_schema/Outcome.h"
#include "by_schema/Reason.h"
#include "by_telemetry/CounterName.h"
#include "by_telemetry/GaugeName.h"
#include "by_telemetry/HistogramName.h"

namespace by {

namespace detail {
struct MetricTables;
}

/// The metrics of one process. All methods may be called from any thread.
class Metrics
{
public:
  /// Builds the metrics, each at zero.
  static std::unique_ptr<Metrics> Create();

  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  /// @param aAmount not below zero.
  void Add(CounterName aName, std::int64_t aAmount = 1);

  /// Counts one request by what became of it.
  void AddAnswer(Outcome aOutcome, Reason aReason);

  /// Counts one HTTP call by the status it was answered with.
  void AddHttpReply(std::int64_t aStatus);

  /// Counts a call that was not read, or a connection that a limit closed.
  void AddRefusedConnection(const char* aReason);

  /// Sets a gauge; times are in seconds.
  void Set(GaugeName aName, double aValue);

  /// Adds one time to a histogram.
  void Observe(HistogramName aName, Time aTime);

  /// @returns all metrics in Prometheus' text format.
  std::string MetricsText() const;

private:
  explicit Metrics(std::unique_ptr<detail::MetricTables> aTables);

  std::unique_ptr<detail::MetricTables> mTables;
};

} // namespace by
