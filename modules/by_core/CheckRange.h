#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace by {

/// Checks that a value lies within its bounds.
/// @param aField the field's name in the schema.
/// @returns OK, or InvalidArgument "FIELD: VALUE is below/above BOUND".
absl::Status
CheckRange(std::string_view aField,
           std::int64_t aValue,
           std::optional<std::int64_t> aMinimum,
           std::optional<std::int64_t> aMaximum);

} // namespace by
