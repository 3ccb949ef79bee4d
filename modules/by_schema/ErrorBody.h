#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Body of a reply to a call that was not carried out.
class ErrorBody
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// One sentence for human readers.
    std::string mError{};
    /// Short name of the error that programs can compare.
    std::string mCode{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ErrorBody() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ErrorBody> Create(Fields aFields) { return ErrorBody(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// One sentence for human readers.
  const std::string& Error() const { return mFields.mError; }
  /// @returns a copy of this value with another Error.
  [[nodiscard]] ErrorBody WithError(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mError = std::move(aValue);
    return copy;
  }

  /// Short name of the error that programs can compare.
  const std::string& Code() const { return mFields.mCode; }
  /// @returns a copy of this value with another Code.
  [[nodiscard]] ErrorBody WithCode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCode = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ErrorBody&, const ErrorBody&) = default;
  friend auto operator<=>(const ErrorBody&, const ErrorBody&) = default;

private:
  explicit ErrorBody(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
