#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// One header of a call.
class HttpHeader
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the header.
    std::string mName{};
    /// Value of the header.
    std::string mValue{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpHeader() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpHeader> Create(Fields aFields)
  {
    return HttpHeader(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the header.
  const std::string& Name() const { return mFields.mName; }
  /// @returns a copy of this value with another Name.
  [[nodiscard]] HttpHeader WithName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mName = std::move(aValue);
    return copy;
  }

  /// Value of the header.
  const std::string& Value() const { return mFields.mValue; }
  /// @returns a copy of this value with another Value.
  [[nodiscard]] HttpHeader WithValue(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mValue = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;

private:
  explicit HttpHeader(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
