#pragma once

#include <cstdint>
#include <string_view>

namespace by::detail {

/// @returns a hash that is the same on every node and in every process (FNV-1a with a final mix).
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

} // namespace by::detail
