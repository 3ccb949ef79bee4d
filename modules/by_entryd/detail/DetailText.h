#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace by::detail {

/// @returns the number of a key in the "key=value" pairs of a line's detail, or nothing where there
/// is none.
std::optional<std::int64_t>
FindNumber(std::string_view aDetail, std::string_view aKey);

/// @returns the value of a key in the "key=value" pairs of a line's detail, up to the next space;
/// empty where there is none.
std::string_view
FindWord(std::string_view aDetail, std::string_view aKey);

} // namespace by::detail
