#include "by_entryd/detail/DetailText.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace by::detail {

std::string_view
FindWord(std::string_view aDetail, std::string_view aKey)
{
  const absl::string_view detail(aDetail.data(), aDetail.size());
  for (const absl::string_view part : absl::StrSplit(detail, ' ')) {
    const std::pair<absl::string_view, absl::string_view> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (std::string_view(pair.first.data(), pair.first.size()) == aKey) {
      return { pair.second.data(), pair.second.size() };
    }
  }
  return {};
}

std::optional<std::int64_t>
FindNumber(std::string_view aDetail, std::string_view aKey)
{
  const auto word = FindWord(aDetail, aKey);
  std::int64_t number = 0;
  if (absl::SimpleAtoi(absl::string_view(word.data(), word.size()), &number)) {
    return number;
  }
  return std::nullopt;
}

} // namespace by::detail
