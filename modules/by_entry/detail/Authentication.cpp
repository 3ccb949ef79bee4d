#include "by_entry/detail/Authentication.h"

#include <algorithm>

namespace by::detail {

namespace {

/// An unknown key is rejected for good only by a node whose configuration was confirmed within this
/// time. It is below the time within which a new key has to be accepted everywhere.
constexpr Time kUnknownKeyTrust = Time::FromMilliseconds(2000);

bool
IsOpen(const ClusterConfig& aConfig, const QueuePolicy& aQueue)
{
  const auto& open = aConfig.OpenQueues();
  return std::any_of(open.begin(), open.end(), [&](const QueueAddress& aAddress) {
    return aAddress.Host() == aQueue.Host() && aAddress.PathPrefix() == aQueue.PathPrefix();
  });
}

} // namespace

Time
ConfigConfirmedAt(const EntryState& aState)
{
  return aState.mJoinedAt;
}

CallerIdentity
Authenticate(const EntryState& aState, const QueuePolicy& aQueue, std::string_view aKey, Time aNow)
{
  if (!aState.mKeys.IsRequired() || IsOpen(*aState.mConfig, aQueue)) {
    return {};
  }
  const auto age = aNow - ConfigConfirmedAt(aState);
  if (age > aState.mSettings.KeyTrust()) {
    return { .mCheck = KeyCheck::Unconfirmed, .mTeam = {} };
  }
  if (auto team = aState.mKeys.TeamOf(aKey)) {
    return { .mCheck = KeyCheck::Passed, .mTeam = *std::move(team) };
  }
  return { .mCheck = age > kUnknownKeyTrust ? KeyCheck::Unconfirmed : KeyCheck::Unknown,
           .mTeam = {} };
}

} // namespace by::detail
