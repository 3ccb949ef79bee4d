#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Page.h"

namespace by {

/// Reads a page.
class ReadPage
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Page to read.
    by::Page mPage{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReadPage() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReadPage> Create(Fields aFields) { return ReadPage(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Page to read.
  by::Page Page() const { return mFields.mPage; }
  /// @returns a copy of this value with another Page.
  [[nodiscard]] ReadPage WithPage(by::Page aValue) const
  {
    auto copy = *this;
    copy.mFields.mPage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReadPage&, const ReadPage&) = default;
  friend auto operator<=>(const ReadPage&, const ReadPage&) = default;

private:
  explicit ReadPage(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
