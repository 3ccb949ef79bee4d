#pragma once

#include <array>
#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "by_entry/TeamSample.h"
#include "by_entryd/detail/Refusal.h"

namespace prometheus {
class Counter;
class Gauge;
class Registry;
template<class T>
class Family;
} // namespace prometheus

namespace by::detail {

/// The metrics of each team of the configuration in force. The series of a team that the
/// configuration no longer lists are removed, so their number is bounded by the configuration.
class TeamMetrics
{
public:
  explicit TeamMetrics(prometheus::Registry& aRegistry);

  /// Shows the teams of the configuration in force.
  void Observe(const std::vector<TeamSample>& aTeams);
  /// Counts calls of a team that were refused; without a team of the configuration, does nothing.
  void Count(const Refusal& aRefusal);

private:
  static constexpr std::size_t kResources = 3;
  static constexpr std::size_t kReasons = std::size(kRefusalReasons);

  /// The series of one team.
  struct Series
  {
    prometheus::Gauge* mWeight;
    prometheus::Gauge* mEntitled;
    prometheus::Gauge* mWaitingSteps;
    prometheus::Gauge* mOpenJobs;
    std::array<prometheus::Gauge*, kResources> mQuota;
    std::array<prometheus::Gauge*, kResources> mUsage;
    std::array<prometheus::Counter*, kReasons> mRefused;
  };

  Series Add(const std::string& aTeam);
  void Remove(const Series& aSeries);

  prometheus::Family<prometheus::Gauge>* mWeight;
  prometheus::Family<prometheus::Gauge>* mEntitled;
  prometheus::Family<prometheus::Gauge>* mWaitingSteps;
  prometheus::Family<prometheus::Gauge>* mOpenJobs;
  prometheus::Family<prometheus::Gauge>* mQuota;
  prometheus::Family<prometheus::Gauge>* mUsage;
  prometheus::Family<prometheus::Counter>* mRefused;
  std::map<std::string, Series> mTeams;
};

} // namespace by::detail
