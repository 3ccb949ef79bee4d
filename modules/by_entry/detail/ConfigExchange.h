#pragma once

#include <cstdint>
#include <string>

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/ConfigRequest.h"
#include "by_schema/LinkHeartbeat.h"

namespace by::detail {

/// Puts a configuration in force unless a node already has this version or a higher one.
/// @returns whether it is in force now.
bool
TakeConfig(EntryState& aState, const ClusterConfig& aConfig, Time aNow, Effects& aOut);

/// Takes a configuration that another node sent.
void
TakePeerConfig(EntryState& aState,
               const ClusterConfig& aConfig,
               const std::string& aNode,
               Time aNow,
               Effects& aOut);

/// @returns the version that heartbeats name; zero before the first configuration with teams, so
/// that nothing is exchanged without teams.
std::uint64_t
AnnouncedVersion(const EntryState& aState);

/// Takes what the owner's heartbeat says of its configuration.
/// @param aIsOwner whether the sender is the active owner that this node follows.
void
TakeOwnerVersion(EntryState& aState, const LinkHeartbeat& aHeartbeat, bool aIsOwner, Time aNow);

/// Takes what a member's heartbeat says of its configuration.
void
TakeMemberVersion(EntryState& aState,
                  const std::string& aNode,
                  const LinkHeartbeat& aHeartbeat,
                  Time aNow);

/// Forgets what the owner said over the last link, and asks the next owner without further delay.
void
ResetOwnerVersion(EntryState& aState, Time aNow);

/// Answers a request of the owner.
void
HandleOwnerConfigRequest(const EntryState& aState, const ConfigRequest& aRequest, Effects& aOut);

/// Keeps a request of a member until its turn.
void
HandleMemberConfigRequest(EntryState& aState,
                          const std::string& aNode,
                          const ConfigRequest& aRequest,
                          Time aNow,
                          Effects& aOut);

/// Sends the configuration to members whose turn it is, and asks for a higher version if the store
/// has not delivered it in time.
void
ExchangeConfig(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
