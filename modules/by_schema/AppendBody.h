#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/RawRecord.h"

namespace by {

/// Body of a call that appends records.
class AppendBody
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Records to append, all or none.
    std::vector<RawRecord> mRecords{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendBody() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendBody> Create(Fields aFields)
  {
    return AppendBody(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Records to append, all or none.
  const std::vector<RawRecord>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] AppendBody WithRecords(std::vector<RawRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendBody&, const AppendBody&) = default;
  friend auto operator<=>(const AppendBody&, const AppendBody&) = default;

private:
  explicit AppendBody(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
