#pragma once

#include <map>
#include <memory>
#include <string>

#include "by_schema/LogLine.h"

namespace prometheus {
class Counter;
class Histogram;
class Registry;
template<class T>
class Family;
} // namespace prometheus

namespace by::detail {

/// The metrics of an entry node: how often each decision was taken, and how long jobs and runs
/// took.
class EntryMetrics
{
public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  /// Counts a decision, and the time that its line tells; for the control thread.
  void Count(const LogLine& aLine);
  /// @returns all metrics in Prometheus' text format; may be called from any thread.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>* mEvents;
  prometheus::Family<prometheus::Histogram>* mTimes;
  std::map<std::string, prometheus::Counter*> mCounters;
  std::map<std::string, prometheus::Histogram*> mHistograms;
};

} // namespace by::detail
