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
  /// The fields by name, for Create().
  struct Fields
  {
    /// Its name.
    std::string mName{};
    /// Its value.
    std::string mValue{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  HttpHeader() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<HttpHeader> Create(Fields aFields)
  {
    return HttpHeader(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Its name.
  const std::string& Name() const { return mFields.mName; }
  /// @returns this value with another Name.
  [[nodiscard]] HttpHeader WithName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mName = std::move(aValue);
    return copy;
  }

  /// Its value.
  const std::string& Value() const { return mFields.mValue; }
  /// @returns this value with another Value.
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
