#include "by_core/CheckRange.h"

#include "absl/strings/str_cat.h"

namespace by {

absl::Status
CheckRange(std::string_view aField,
           std::int64_t aValue,
           std::optional<std::int64_t> aMinimum,
           std::optional<std::int64_t> aMaximum)
{
  if (aMinimum && aValue < *aMinimum) {
    return absl::InvalidArgumentError(
      absl::StrCat(std::string(aField), ": ", aValue, " is below ", *aMinimum));
  }
  if (aMaximum && aValue > *aMaximum) {
    return absl::InvalidArgumentError(
      absl::StrCat(std::string(aField), ": ", aValue, " is above ", *aMaximum));
  }
  return absl::OkStatus();
}

} // namespace by
