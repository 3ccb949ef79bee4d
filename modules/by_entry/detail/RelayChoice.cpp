#include "by_entry/detail/RelayChoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

#include "by_membership/Rendezvous.h"

namespace by::detail {

namespace {

/// Members that relay orders; with fewer of them, more orders and answers share a message.
constexpr std::size_t kMaxRelays = 8;
/// A member that has been silent this much longer than the last one heard gets no orders.
constexpr Time kRelaySilence = Time::FromMilliseconds(1200);

Time
LastHeard(const EntryState& aState)
{
  Time last{};
  for (const auto& [node, member] : aState.mMembers) {
    last = std::max(last, member.mHeardAt);
  }
  return last;
}

bool
IsSilentSince(const MemberRow& aMember, Time aLastHeard)
{
  return aMember.mHeardAt + kRelaySilence <= aLastHeard;
}

ZoneId
ZoneOf(const EntryState& aState, const std::string& aWorker)
{
  const auto it = aState.mCell->mWorkers.find(aWorker);
  return it == aState.mCell->mWorkers.end() ? ZoneId() : it->second.mRegistration.Zone();
}

/// @returns the usable members that relay orders: those with the largest processor share, and of
/// equal ones the same as long as they stay linked.
std::vector<std::string>
SelectRelays(const EntryState& aState)
{
  const auto heard = LastHeard(aState);
  std::vector<std::tuple<std::int64_t, std::uint64_t, std::string>> ranked;
  for (const auto& [node, member] : aState.mMembers) {
    if (!aState.mRelays.mSuspended.contains(node) && !IsSilentSince(member, heard)) {
      ranked.emplace_back(-static_cast<std::int64_t>(member.mProcessorShare),
                          RendezvousWeight(NodeId(node), "relay"),
                          node);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> relays;
  for (const auto& [share, weight, node] : ranked) {
    if (relays.size() == kMaxRelays) {
      break;
    }
    relays.push_back(node);
  }
  return relays;
}

/// Selects a worker's relay: members in the worker's availability zone first, without those that
/// could not reach the worker.
/// @returns the node; empty where no member is usable.
std::string
SelectRelay(const EntryState& aState, const std::string& aWorker)
{
  const auto zone = ZoneOf(aState, aWorker);
  const auto failed = aState.mRelays.mFailedRelays.find(aWorker);
  std::vector<NodeId> nearby;
  std::vector<NodeId> all;
  for (const auto& node : SelectRelays(aState)) {
    if (failed != aState.mRelays.mFailedRelays.end() && failed->second.contains(node)) {
      continue;
    }
    all.emplace_back(node);
    if (aState.mMembers.at(node).mZone == zone) {
      nearby.emplace_back(node);
    }
  }
  return RendezvousOwner(nearby.empty() ? all : nearby, aWorker).Text();
}

} // namespace

bool
IsSilent(const EntryState& aState, const MemberRow& aMember)
{
  return IsSilentSince(aMember, LastHeard(aState));
}

const std::string&
RelayOf(EntryState& aState, const std::string& aWorker)
{
  auto [it, isNew] = aState.mRelays.mRelayOfWorker.try_emplace(aWorker);
  if (isNew) {
    it->second = SelectRelay(aState, aWorker);
    if (it->second.empty()) {
      // This node tries the worker itself, and the relays after it.
      aState.mRelays.mFailedRelays.erase(aWorker);
    }
  }
  return it->second;
}

void
NoteReachability(EntryState& aState,
                 const std::string& aWorker,
                 const std::string& aRelay,
                 OrderOutcome aOutcome)
{
  if (aOutcome == OrderOutcome::Unanswered || aOutcome == OrderOutcome::NotSent) {
    aState.mRelays.mFailedRelays[aWorker].insert(aRelay);
    aState.mRelays.mRelayOfWorker.erase(aWorker);
  } else {
    aState.mRelays.mFailedRelays.erase(aWorker);
  }
}

void
RebalanceRelays(EntryState& aState)
{
  aState.mRelays.mRelayOfWorker.clear();
}

} // namespace by::detail
