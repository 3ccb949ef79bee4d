#pragma once

#include <string>
#include <utility>
#include <vector>

namespace by::detail {

using TextRow = std::vector<std::string>;

/// Writes rows in columns; the first row is the heading.
/// @returns one line a row, columns two spaces apart, without trailing spaces.
std::string
WriteColumns(const std::vector<TextRow>& aRows);

/// Writes names and values, one pair a line; pairs without a value are left out.
std::string
WritePairs(const std::vector<std::pair<std::string, std::string>>& aPairs);

} // namespace by::detail
