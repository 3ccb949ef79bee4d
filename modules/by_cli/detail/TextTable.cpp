#include "by_cli/detail/TextTable.h"

#include <algorithm>
#include <cstddef>

namespace by::detail {

namespace {

constexpr std::size_t kGap = 2;

/// Counts the characters of UTF-8 text.
std::size_t
WidthOf(const std::string& aText)
{
  constexpr unsigned char kContinuationMask = 0xC0;
  constexpr unsigned char kContinuation = 0x80;
  return static_cast<std::size_t>(std::count_if(aText.begin(), aText.end(), [](char aByte) {
    return (static_cast<unsigned char>(aByte) & kContinuationMask) != kContinuation;
  }));
}

std::vector<std::size_t>
WidthsOf(const std::vector<TextRow>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  return widths;
}

} // namespace

std::string
WriteColumns(const std::vector<TextRow>& aRows)
{
  const auto widths = WidthsOf(aRows);
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + kGap - WidthOf(row[i]), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string
WritePairs(const std::vector<std::pair<std::string, std::string>>& aPairs)
{
  std::vector<TextRow> rows;
  for (const auto& [name, value] : aPairs) {
    if (!value.empty()) {
      rows.push_back({ name, value });
    }
  }
  return WriteColumns(rows);
}

} // namespace by::detail
