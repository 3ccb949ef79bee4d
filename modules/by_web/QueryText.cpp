#include "by_web/QueryText.h"

#include <charconv>

namespace by {

void
ReadTarget(std::string_view aTarget, WebRequest& aIncoming)
{
  const auto mark = aTarget.find('?');
  aIncoming.mPath = std::string(aTarget.substr(0, mark));
  if (mark == std::string_view::npos) {
    return;
  }
  auto rest = aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto part = rest.substr(0, end);
    const auto equals = part.find('=');
    if (equals != std::string_view::npos) {
      aIncoming.mQuery.emplace(part.substr(0, equals), part.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
}

std::int64_t
QueryNumber(const WebRequest& aIncoming, const std::string& aKey, std::int64_t aDefault)
{
  const auto it = aIncoming.mQuery.find(aKey);
  if (it == aIncoming.mQuery.end()) {
    return aDefault;
  }
  const auto& text = it->second;
  std::int64_t n = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), n);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? n : aDefault;
}

} // namespace by
