#pragma once

#include <memory>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace by::detail {

/// The metrics by the index of their names; the registry owns them.
struct MetricTables
{
  prometheus::Registry mRegistry;
  std::vector<prometheus::Counter*> mCounters;
  std::vector<prometheus::Gauge*> mGauges;
  std::vector<prometheus::Histogram*> mHistograms;
  prometheus::Family<prometheus::Counter>* mAnswers{ nullptr };
  prometheus::Family<prometheus::Counter>* mHttpReplies{ nullptr };
  prometheus::Family<prometheus::Counter>* mRefusedConnections{ nullptr };
};

} // namespace by::detail
