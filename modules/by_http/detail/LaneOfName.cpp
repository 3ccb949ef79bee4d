#include "by_http/detail/LaneOfName.h"

#include <string_view>

namespace by::detail {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::size_t kBase = 16;

} // namespace

std::string
NameForLane(std::string aDrawn, std::size_t aLane)
{
  if (aDrawn.size() < 2) {
    aDrawn.resize(2, kDigits[0]);
  }
  aDrawn[0] = kDigits[aLane / kBase % kBase];
  aDrawn[1] = kDigits[aLane % kBase];
  return aDrawn;
}

std::optional<std::size_t>
LaneOf(const RequestId& aRequest)
{
  const auto& text = aRequest.Text();
  if (text.size() < 2) {
    return std::nullopt;
  }
  const auto high = kDigits.find(text[0]);
  const auto low = kDigits.find(text[1]);
  if (high == std::string_view::npos || low == std::string_view::npos) {
    return std::nullopt;
  }
  return high * kBase + low;
}

} // namespace by::detail
