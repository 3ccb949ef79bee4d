#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "by_schema/ClusterConfig.h"
#include "by_schema/JobCall.h"

namespace by {

/// @returns a configuration with the team red, the queue /q/ that needs a key and the queue /open/
/// that needs none.
/// @param aMoreQueues further queues.
ClusterConfig
KeyedConfig(std::uint64_t aVersion, std::vector<std::string> aKeys, std::size_t aMoreQueues = 0);

/// @returns the same configuration with other teams.
ClusterConfig
TeamsConfig(std::uint64_t aVersion, std::vector<TeamPolicy> aTeams, std::size_t aMoreQueues = 0);

/// @returns a call with a key.
JobCall
KeyedCall(std::uint64_t aNumber,
          const std::string& aKey,
          JobCallKind aKind = JobCallKind::Show,
          const std::string& aPath = "/q/0123456789abcdef");

} // namespace by
