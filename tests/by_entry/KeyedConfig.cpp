#include "by_entry/KeyedConfig.h"

#include <utility>

namespace by {

namespace {

QueuePolicy
QueueAt(const std::string& aPathPrefix)
{
  return QueuePolicy::Create({ .mHost = "h",
                               .mPathPrefix = aPathPrefix,
                               .mPool = "pool",
                               .mPriority = 0,
                               .mMaxAttempts = 2,
                               .mSlowdownLimit = 2,
                               .mSlack = {},
                               .mAdvice = std::nullopt })
    .value();
}

} // namespace

ClusterConfig
TeamsConfig(std::uint64_t aVersion, std::vector<TeamPolicy> aTeams, std::size_t aMoreQueues)
{
  ClusterConfig::Fields fields{ .mVersion = aVersion,
                                .mQueues = { QueueAt("/q/"), QueueAt("/open/") } };
  for (std::size_t k = 0; k < aMoreQueues; ++k) {
    fields.mQueues.push_back(QueueAt("/more-" + std::to_string(k) + "/"));
  }
  fields.mTeams = std::move(aTeams);
  fields.mOpenQueues = { QueueAddress::Create({ .mHost = "h", .mPathPrefix = "/open/" }).value() };
  return ClusterConfig::Create(std::move(fields)).value();
}

ClusterConfig
KeyedConfig(std::uint64_t aVersion, std::vector<std::string> aKeys, std::size_t aMoreQueues)
{
  std::vector<TeamPolicy> teams;
  teams.push_back(
    TeamPolicy::Create({ .mName = TeamId("red"), .mKeys = std::move(aKeys), .mWeight = 1 })
      .value());
  return TeamsConfig(aVersion, std::move(teams), aMoreQueues);
}

JobCall
KeyedCall(std::uint64_t aNumber,
          const std::string& aKey,
          JobCallKind aKind,
          const std::string& aPath)
{
  JobCall::Fields fields{
    .mCall = aNumber, .mKind = aKind, .mHost = "h", .mPath = aPath, .mKey = aKey
  };
  if (aKind == JobCallKind::Submit) {
    auto step = JobStep::Create({ .mCount = 1 }).value();
    fields.mDefinition =
      JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value();
  }
  return JobCall::Create(std::move(fields)).value();
}

} // namespace by
