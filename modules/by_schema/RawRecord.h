#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// One record as the platform stores it.
class RawRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Offset in the log; zero in an append.
    std::uint64_t mOffset{ 0 };
    /// When the platform accepted the record; zero in an append.
    Time mAt{};
    /// A LogRecord as JSON text.
    std::string mData{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RawRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RawRecord> Create(Fields aFields) { return RawRecord(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Offset in the log; zero in an append.
  std::uint64_t Offset() const { return mFields.mOffset; }
  /// @returns a copy of this value with another Offset.
  [[nodiscard]] RawRecord WithOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOffset = std::move(aValue);
    return copy;
  }

  /// When the platform accepted the record; zero in an append.
  Time At() const { return mFields.mAt; }
  /// @returns a copy of this value with another At.
  [[nodiscard]] RawRecord WithAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAt = std::move(aValue);
    return copy;
  }

  /// A LogRecord as JSON text.
  const std::string& Data() const { return mFields.mData; }
  /// @returns a copy of this value with another Data.
  [[nodiscard]] RawRecord WithData(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mData = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RawRecord&, const RawRecord&) = default;
  friend auto operator<=>(const RawRecord&, const RawRecord&) = default;

private:
  explicit RawRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
