#pragma once

#include <string_view>

namespace by {

/// Compares a given text with a secret in a time that depends only on the length of the given text.
bool
EqualInConstantTime(std::string_view aSecret, std::string_view aGiven);

} // namespace by
