#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// A call was carried out and has no result to show.
class Done
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// One sentence for human readers.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Done() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Done> Create(Fields aFields) { return Done(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// One sentence for human readers.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] Done WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Done&, const Done&) = default;
  friend auto operator<=>(const Done&, const Done&) = default;

private:
  explicit Done(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
