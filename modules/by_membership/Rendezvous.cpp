#include "by_membership/Rendezvous.h"

#include <algorithm>
#include <string_view>

namespace by {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
AddFnv1a(std::uint64_t aHash, std::string_view aText)
{
  for (const unsigned char byte : aText) {
    aHash = (aHash ^ byte) * kFnvPrime;
  }
  return aHash;
}

/// Makes every bit of the hash depend on all others; a change in the last character hardly affects
/// the high bits of FNV-1a alone.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

bool
Outweighs(const NodeId& aLeft, const NodeId& aRight, const std::string& aKey)
{
  const auto left = RendezvousWeight(aLeft, aKey);
  const auto right = RendezvousWeight(aRight, aKey);
  return left != right ? left > right : aLeft < aRight;
}

} // namespace

std::uint64_t
RendezvousWeight(const NodeId& aNode, const std::string& aKey)
{
  auto hash = AddFnv1a(kFnvOffset, aNode.Text());
  hash = AddFnv1a(hash, std::string_view("\0", 1));
  return Mix(AddFnv1a(hash, aKey));
}

NodeId
RendezvousOwner(const std::vector<NodeId>& aNodes, const std::string& aKey)
{
  const auto outweighed = [&](const NodeId& aLeft, const NodeId& aRight) {
    return Outweighs(aRight, aLeft, aKey);
  };
  const auto it = std::max_element(aNodes.begin(), aNodes.end(), outweighed);
  return it == aNodes.end() ? NodeId() : *it;
}

std::size_t
RendezvousRank(const std::vector<NodeId>& aNodes, const std::string& aKey, const NodeId& aNode)
{
  return static_cast<std::size_t>(
    std::count_if(aNodes.begin(), aNodes.end(), [&](const NodeId& aOther) {
      return aOther != aNode && Outweighs(aOther, aNode, aKey);
    }));
}

} // namespace by
