#include "by_cli/detail/ReadMetrics.h"

#include <optional>
#include <string>

#include "absl/strings/numbers.h"

namespace by::detail {

namespace {

/// Takes the text up to a character off, with that character.
/// @returns the text, or nothing where the character is missing.
std::optional<std::string_view>
TakeUntil(std::string_view& aText, char aEnd)
{
  const auto place = aText.find(aEnd);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  const auto taken = aText.substr(0, place);
  aText.remove_prefix(place + 1);
  return taken;
}

/// Takes a label's value off, with its closing quotation mark.
std::optional<std::string>
TakeValue(std::string_view& aText)
{
  std::string value;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '"') {
      aText.remove_prefix(i + 1);
      return value;
    }
    if (aText[i] == '\\' && i + 1 < aText.size()) {
      ++i;
      value += aText[i] == 'n' ? '\n' : aText[i];
    } else {
      value += aText[i];
    }
  }
  return std::nullopt;
}

/// Takes all labels off, with the closing brace.
bool
TakeLabels(std::string_view& aText, std::map<std::string, std::string>& aLabels)
{
  while (!aText.empty() && aText.front() != '}') {
    const auto name = TakeUntil(aText, '=');
    if (!name || aText.empty() || aText.front() != '"') {
      return false;
    }
    aText.remove_prefix(1);
    auto value = TakeValue(aText);
    if (!value) {
      return false;
    }
    aLabels[std::string(*name)] = *std::move(value);
    if (!aText.empty() && aText.front() == ',') {
      aText.remove_prefix(1);
    }
  }
  if (aText.empty()) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

std::optional<MetricSample>
ReadLine(std::string_view aLine)
{
  MetricSample sample;
  const auto end = aLine.find_first_of("{ ");
  if (end == std::string_view::npos || aLine.front() == '#') {
    return std::nullopt;
  }
  sample.mName = std::string(aLine.substr(0, end));
  const bool hasLabels = aLine[end] == '{';
  aLine.remove_prefix(end + 1);
  if (hasLabels && !TakeLabels(aLine, sample.mLabels)) {
    return std::nullopt;
  }
  if (!absl::SimpleAtod(absl::string_view(aLine.data(), aLine.size()), &sample.mValue)) {
    return std::nullopt;
  }
  return sample;
}

} // namespace

std::vector<MetricSample>
ReadMetrics(std::string_view aText, std::string_view aPrefix)
{
  std::vector<MetricSample> samples;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    if (!line.starts_with(aPrefix)) {
      continue;
    }
    if (auto sample = ReadLine(line)) {
      samples.push_back(*std::move(sample));
    }
  }
  return samples;
}

} // namespace by::detail
