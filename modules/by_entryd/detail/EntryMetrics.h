#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "by_core/Time.h"
#include "by_entry/ConfigSample.h"
#include "by_entryd/detail/TeamMetrics.h"
#include "by_links/LinkDirection.h"
#include "by_schema/LogLine.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template<class T>
class Family;
} // namespace prometheus

namespace by::detail {

/// The metrics of an entry node: how often each decision was taken, how long jobs and runs took,
/// what the control thread and the links had to do, and the configuration in force with its teams.
class EntryMetrics
{
public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  /// Counts a decision, and the time that its line tells; for the control thread.
  void Count(const LogLine& aLine);
  /// Shows the configuration in force and its teams; for the control thread.
  void Observe(const ConfigSample& aSample);
  /// Counts an event that was handled, by its kind; for the control thread.
  void CountHandled(const char* aKind);
  /// Counts an event that was dropped, by its kind; for the control thread.
  void CountDropped(const char* aKind);
  /// Notes the longest wait of an event up to a batch; for the control thread.
  void ObserveQueueDelay(Time aDelay);
  /// Notes the processor time of one sampled event; for the control thread.
  void ObserveProcessorTime(const char* aKind, std::chrono::nanoseconds aTime);
  /// Counts messages of links; for the traffic thread.
  void CountLink(LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes);
  /// Counts a connection or a call that a limit refused, by its reason; for the traffic thread.
  void CountRefusal(const char* aReason);
  /// @returns all metrics in Prometheus' text format; may be called from any thread.
  std::string Text() const;

private:
  /// What is counted of the log lines of one event.
  struct LineCounters
  {
    prometheus::Counter* mLines{ nullptr };
    /// The key in the detail that holds a stage's time, and its histogram; empty for most events.
    const char* mTimeKey{ nullptr };
    prometheus::Histogram* mTime{ nullptr };
    /// Whether its lines may report calls that were refused.
    bool mMayReportRefusals{ false };
  };

  struct LinkCounters
  {
    prometheus::Counter* mMessages;
    prometheus::Counter* mBytes;
  };

  void CountRefusals(const LogLine& aLine);

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>* mEvents;
  prometheus::Family<prometheus::Histogram>* mTimes;
  prometheus::Family<prometheus::Counter>* mHandled;
  prometheus::Family<prometheus::Counter>* mDropped;
  prometheus::Family<prometheus::Counter>* mProcessorTime;
  prometheus::Family<prometheus::Counter>* mProcessorSamples;
  prometheus::Family<prometheus::Counter>* mRefusedConnections;
  prometheus::Histogram* mQueueDelay;
  prometheus::Family<prometheus::Counter>* mRefusedCalls;
  prometheus::Gauge* mConfigVersion;
  prometheus::Gauge* mConfigAge;
  prometheus::Gauge* mTeamCount;
  prometheus::Gauge* mKeyCount;
  prometheus::Gauge* mOwnsCell;
  TeamMetrics mTeams;
  LinkCounters mReceived;
  LinkCounters mSent;
  std::unordered_map<std::string, LineCounters> mLines;
  /// The counters of each kind of event.
  std::map<std::string_view, prometheus::Counter*> mHandledByKind;
  std::map<std::string_view, prometheus::Counter*> mDroppedByKind;
  std::map<std::string_view, prometheus::Counter*> mTimeByKind;
  std::map<std::string_view, prometheus::Counter*> mSamplesByKind;
  std::map<std::string_view, prometheus::Counter*> mRefusedConnectionsByReason;
  std::map<std::string_view, prometheus::Counter*> mRefusedCallsByReason;
};

} // namespace by::detail
