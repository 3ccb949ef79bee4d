#include "by_entry/detail/ConfigExchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "by_cell/Work.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Links.h"

namespace by::detail {

namespace {

/// A node that hears of a higher version first waits this long for the store to deliver it.
constexpr Time kStoreDeliveryTime = Time::FromMilliseconds(300);
/// An unanswered request is repeated after this.
constexpr Time kRequestRetryDelay = Time::FromMilliseconds(1000);
/// A version that was sent over a link is not sent over it again for this long: what was sent over
/// a link arrives, or the link is lost.
constexpr Time kResendDelay = Time::FromMilliseconds(4000);
/// The size of a queue, pool or team in a message, rounded up: 1,400 queues and 20 teams take
/// 184,765 bytes. [bytes]
constexpr std::int64_t kEntrySize = 200;
/// The rate at which configurations are sent, below the 10 Mbit/s of the slowest links, so that
/// heartbeats and replies to members are not held up. [bytes per ms]
constexpr std::int64_t kSendRate = 1000;

LinkMessage
MessageOf(const ClusterConfig& aConfig)
{
  return LinkMessage::Create({ .mBody = aConfig }).value();
}

std::uint64_t
VersionInForce(const EntryState& aState)
{
  return aState.mConfig ? aState.mConfig->Version() : 0;
}

/// @returns how long the configuration occupies a link.
Time
SendTime(const ClusterConfig& aConfig)
{
  const auto entries = aConfig.Queues().size() + aConfig.OpenQueues().size() +
                       aConfig.Pools().size() + aConfig.Teams().size();
  return Time::FromMilliseconds(static_cast<std::int64_t>(entries) * kEntrySize / kSendRate);
}

/// Names the teams that hold keys in common, which identify none of them.
void
LogSharedKeys(const EntryState& aState, Effects& aOut)
{
  const auto& teams = aState.mKeys.TeamsWithSharedKeys();
  if (teams.empty()) {
    return;
  }
  const auto append = [](std::string* aText, const TeamId& aTeam) {
    absl::StrAppend(aText, aTeam.Text());
  };
  Log(aOut,
      "key.shared",
      absl::StrCat("version ", aState.mKeys.Version()),
      absl::StrCat(
        "keys=", aState.mKeys.CountAmbiguousKeys(), " teams=", absl::StrJoin(teams, ",", append)));
}

/// Notes that another node has a version in force.
void
NoteVersion(EntryState& aState, std::uint64_t aVersion, Time aNow)
{
  auto& exchange = aState.mConfigExchange;
  if (aVersion <= exchange.mNewestVersion) {
    return;
  }
  exchange.mNewestVersion = aVersion;
  exchange.mNewestSince = aNow;
  if (aVersion > VersionInForce(aState) && exchange.mBehindSince == Time::Never()) {
    exchange.mBehindSince = aNow;
    exchange.mNextRequest = aNow + kStoreDeliveryTime;
  }
}

void
SendToAskers(EntryState& aState, Time aNow, Effects& aOut)
{
  auto& exchange = aState.mConfigExchange;
  while (aState.mConfig && !exchange.mAskers.empty() && aNow >= exchange.mNextAnswer) {
    const auto node = std::move(exchange.mAskers.front());
    exchange.mAskers.erase(exchange.mAskers.begin());
    const auto it = aState.mMembers.find(node);
    const auto version = aState.mConfig->Version();
    // The store may have served the member in the meantime.
    if (it == aState.mMembers.end() || it->second.mConfigVersion >= version) {
      continue;
    }
    it->second.mSentConfig = version;
    it->second.mConfigSentAt = aNow;
    exchange.mNextAnswer = aNow + SendTime(*aState.mConfig);
    EmitToMember(aState, node, MessageOf(*aState.mConfig), aOut);
  }
}

/// Asks a node that named a higher version, preferably another one than last time.
/// @returns whether there is one.
bool
RequestConfig(EntryState& aState, Effects& aOut)
{
  auto& exchange = aState.mConfigExchange;
  const auto known = VersionInForce(aState);
  std::string node;
  std::uint64_t version = known;
  const auto consider = [&](const std::string& aNode, std::uint64_t aVersion) {
    if (aVersion > version ||
        (aVersion == version && aVersion > known && node == exchange.mAskedNode)) {
      node = aNode;
      version = aVersion;
    }
  };
  const bool hasOwner = aState.mLinkUp && aState.mOwner;
  if (hasOwner) {
    consider(aState.mOwner->Node(), exchange.mOwnerVersion);
  }
  for (const auto& [name, member] : aState.mMembers) {
    consider(name, member.mConfigVersion);
  }
  if (node.empty()) {
    return false;
  }
  exchange.mAskedNode = node;
  auto request =
    LinkMessage::Create({ .mBody = ConfigRequest::Create({ .mKnownVersion = known }).value() })
      .value();
  if (hasOwner && node == aState.mOwner->Node()) {
    EmitToOwner(aState, std::move(request), aOut);
  } else {
    EmitToMember(aState, node, std::move(request), aOut);
  }
  return true;
}

} // namespace

bool
TakeConfig(EntryState& aState, const ClusterConfig& aConfig, Time aNow, Effects& aOut)
{
  if (aState.mConfig && aState.mConfig->Version() >= aConfig.Version()) {
    return false;
  }
  aState.mConfig = aConfig;
  aState.mKeys = KeyTable::Create(aConfig);
  auto& exchange = aState.mConfigExchange;
  exchange.mIsAnnounced = exchange.mIsAnnounced || aState.mKeys.IsRequired();
  if (aConfig.Version() >= exchange.mNewestVersion) {
    exchange.mBehindSince = Time::Never();
    exchange.mNextRequest = Time::Never();
  } else {
    exchange.mBehindSince = exchange.mNewestSince;
    exchange.mNextRequest = std::max(aNow, exchange.mNewestSince + kStoreDeliveryTime);
  }
  Log(aOut,
      "config.in_force",
      absl::StrCat("version ", aConfig.Version()),
      absl::StrCat("queues=",
                   aConfig.Queues().size(),
                   " pools=",
                   aConfig.Pools().size(),
                   " teams=",
                   aConfig.Teams().size(),
                   " keys=",
                   aState.mKeys.CountKeys(),
                   " ambiguous_keys=",
                   aState.mKeys.CountAmbiguousKeys()));
  LogSharedKeys(aState, aOut);
  if (aState.mCell) {
    ConfigureCell(*aState.mCell, aConfig);
  }
  return true;
}

void
TakePeerConfig(EntryState& aState,
               const ClusterConfig& aConfig,
               const std::string& aNode,
               Time aNow,
               Effects& aOut)
{
  const auto before = VersionInForce(aState);
  if (TakeConfig(aState, aConfig, aNow, aOut)) {
    Log(aOut,
        "config.from_peer",
        absl::StrCat("version ", aConfig.Version()),
        absl::StrCat("node=", aNode, " replaced=", before));
  }
}

std::uint64_t
AnnouncedVersion(const EntryState& aState)
{
  return aState.mConfigExchange.mIsAnnounced ? VersionInForce(aState) : 0;
}

void
TakeOwnerVersion(EntryState& aState, const LinkHeartbeat& aHeartbeat, bool aIsOwner, Time aNow)
{
  auto& exchange = aState.mConfigExchange;
  const auto version = aHeartbeat.ConfigVersion();
  if (version == 0) {
    return;
  }
  exchange.mOwnerVersion = version;
  if (aIsOwner && aHeartbeat.Owner() && !aHeartbeat.StoreLost() &&
      version >= exchange.mConfirmedVersion) {
    const auto confirmedAt = aNow - aHeartbeat.ConfigAge();
    exchange.mOwnerConfirmedAt = version > exchange.mConfirmedVersion
                                   ? confirmedAt
                                   : std::max(exchange.mOwnerConfirmedAt, confirmedAt);
    exchange.mConfirmedVersion = version;
  }
  NoteVersion(aState, version, aNow);
}

void
TakeMemberVersion(EntryState& aState,
                  const std::string& aNode,
                  const LinkHeartbeat& aHeartbeat,
                  Time aNow)
{
  const auto it = aState.mMembers.find(aNode);
  if (it == aState.mMembers.end() || aHeartbeat.ConfigVersion() == 0) {
    return;
  }
  it->second.mConfigVersion = aHeartbeat.ConfigVersion();
  NoteVersion(aState, aHeartbeat.ConfigVersion(), aNow);
}

void
ResetOwnerVersion(EntryState& aState, Time aNow)
{
  auto& exchange = aState.mConfigExchange;
  exchange.mOwnerVersion = 0;
  if (exchange.mBehindSince != Time::Never()) {
    exchange.mNextRequest = std::max(aNow, exchange.mBehindSince + kStoreDeliveryTime);
  }
}

void
HandleOwnerConfigRequest(const EntryState& aState, const ConfigRequest& aRequest, Effects& aOut)
{
  if (aState.mConfig && aState.mConfig->Version() > aRequest.KnownVersion()) {
    EmitToOwner(aState, MessageOf(*aState.mConfig), aOut);
  }
}

void
HandleMemberConfigRequest(EntryState& aState,
                          const std::string& aNode,
                          const ConfigRequest& aRequest,
                          Time aNow,
                          Effects& aOut)
{
  const auto it = aState.mMembers.find(aNode);
  const auto version = VersionInForce(aState);
  if (it == aState.mMembers.end() || aRequest.KnownVersion() >= version) {
    return;
  }
  const auto& member = it->second;
  const bool isUnderway =
    member.mSentConfig == version && aNow < member.mConfigSentAt + kResendDelay;
  auto& askers = aState.mConfigExchange.mAskers;
  if (isUnderway || std::find(askers.begin(), askers.end(), aNode) != askers.end()) {
    return;
  }
  askers.push_back(aNode);
  SendToAskers(aState, aNow, aOut);
}

void
ExchangeConfig(EntryState& aState, Time aNow, Effects& aOut)
{
  SendToAskers(aState, aNow, aOut);
  auto& exchange = aState.mConfigExchange;
  if (exchange.mBehindSince != Time::Never() && aNow >= exchange.mNextRequest &&
      RequestConfig(aState, aOut)) {
    exchange.mNextRequest = aNow + kRequestRetryDelay;
  }
}

} // namespace by::detail
