#pragma once

#include <map>
#include <string>

namespace by::detail {

/// One value of a metric in Prometheus' text format.
struct MetricSample
{
  std::string mName;
  std::map<std::string, std::string> mLabels{};
  double mValue{ 0 };

  friend bool operator==(const MetricSample&, const MetricSample&) = default;
  friend auto operator<=>(const MetricSample&, const MetricSample&) = default;
};

} // namespace by::detail
