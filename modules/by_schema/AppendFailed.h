#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Records were not appended to the log, or the answer was lost.
class AppendFailed
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifiers of the records.
    std::vector<RecordId> mRecords{};
    /// Whether the records may have been appended nevertheless.
    bool mMayHaveTakenEffect{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AppendFailed() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AppendFailed> Create(Fields aFields)
  {
    return AppendFailed(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifiers of the records.
  const std::vector<RecordId>& Records() const { return mFields.mRecords; }
  /// @returns a copy of this value with another Records.
  [[nodiscard]] AppendFailed WithRecords(std::vector<RecordId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRecords = std::move(aValue);
    return copy;
  }

  /// Whether the records may have been appended nevertheless.
  bool MayHaveTakenEffect() const { return mFields.mMayHaveTakenEffect; }
  /// @returns a copy of this value with another MayHaveTakenEffect.
  [[nodiscard]] AppendFailed WithMayHaveTakenEffect(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mMayHaveTakenEffect = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AppendFailed&, const AppendFailed&) = default;
  friend auto operator<=>(const AppendFailed&, const AppendFailed&) = default;

private:
  explicit AppendFailed(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
