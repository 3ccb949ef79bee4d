#include "by_intents/detail/StableHash.h"

namespace by::detail {

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  constexpr std::uint64_t kBasis = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  constexpr std::uint64_t kMix = 0xff51afd7ed558ccdULL;
  constexpr int kShift = 33;
  auto hash = kBasis ^ aSeed;
  for (const char c : aText) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  hash = (hash ^ (hash >> kShift)) * kMix;
  return hash ^ (hash >> kShift);
}

} // namespace by::detail
