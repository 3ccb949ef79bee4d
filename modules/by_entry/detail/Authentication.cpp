#include "by_entry/detail/Authentication.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"

namespace by::detail {

namespace {

/// An unknown key is rejected for good only by a node whose configuration was confirmed within this
/// time. It is below the time within which a new key has to be accepted everywhere.
constexpr Time kUnknownKeyTrust = Time::FromMilliseconds(2000);
/// Minimum time between two reports of refused calls.
constexpr Time kRefusalReportInterval = Time::FromMilliseconds(1000);

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
  const auto& exchange = aState.mConfigExchange;
  auto confirmedAt = aState.mJoinedAt;
  if (aState.mCell) {
    confirmedAt = std::max(confirmedAt, aState.mCell->mConfirmedAt);
  }
  if (aState.mConfig && aState.mConfig->Version() == exchange.mConfirmedVersion) {
    confirmedAt = std::max(confirmedAt, exchange.mOwnerConfirmedAt);
  }
  // Whatever confirmed it later, it was no longer the newest one.
  return std::min(confirmedAt, exchange.mBehindSince);
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
  // The key may have been added by a version that this node does not have.
  const bool isOutdated = aState.mConfigExchange.mBehindSince != Time::Never();
  return { .mCheck =
             isOutdated || age > kUnknownKeyTrust ? KeyCheck::Unconfirmed : KeyCheck::Unknown,
           .mTeam = {} };
}

void
CountRefusal(EntryState& aState, KeyCheck aCheck, const std::string& aPath)
{
  auto& refusals = aState.mKeyRefusals;
  ++(aCheck == KeyCheck::Unknown ? refusals.mUnknown : refusals.mUnconfirmed);
  refusals.mLastPath = aPath;
}

void
ReportKeyRefusals(EntryState& aState, Time aNow, Effects& aOut)
{
  auto& refusals = aState.mKeyRefusals;
  if (refusals.mUnknown + refusals.mUnconfirmed == 0 || aNow < refusals.mNextReport) {
    return;
  }
  refusals.mNextReport = aNow + kRefusalReportInterval;
  Log(aOut,
      "key.refused",
      std::exchange(refusals.mLastPath, {}),
      absl::StrCat("unknown=",
                   std::exchange(refusals.mUnknown, 0),
                   " unconfirmed=",
                   std::exchange(refusals.mUnconfirmed, 0),
                   " config=",
                   aState.mConfig ? aState.mConfig->Version() : 0,
                   " newest=",
                   aState.mConfigExchange.mNewestVersion,
                   " confirmed_ms_ago=",
                   (aNow - ConfigConfirmedAt(aState)).Milliseconds()));
}

} // namespace by::detail
