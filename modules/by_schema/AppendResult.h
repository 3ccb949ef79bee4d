#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Result of an append.
class AppendResult
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Offset of the first appended record.
    std::uint64_t mFirstOffset{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendResult() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendResult> Create(Fields aFields)
  {
    return AppendResult(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Offset of the first appended record.
  std::uint64_t FirstOffset() const { return mFields.mFirstOffset; }
  /// @returns a copy of this value with another FirstOffset.
  [[nodiscard]] AppendResult WithFirstOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstOffset = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendResult&, const AppendResult&) = default;
  friend auto operator<=>(const AppendResult&, const AppendResult&) = default;

private:
  explicit AppendResult(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
