#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/SubmitBody.h"

namespace by {

/// Submits a request and waits for its answer.
class SubmitCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The request.
    SubmitBody mBody{};
    /// File that holds the payload; empty if the body holds it.
    std::string mPayloadFile{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SubmitCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SubmitCommand> Create(Fields aFields)
  {
    return SubmitCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The request.
  const SubmitBody& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] SubmitCommand WithBody(SubmitBody aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  /// File that holds the payload; empty if the body holds it.
  const std::string& PayloadFile() const { return mFields.mPayloadFile; }
  /// @returns a copy of this value with another PayloadFile.
  [[nodiscard]] SubmitCommand WithPayloadFile(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayloadFile = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SubmitCommand&, const SubmitCommand&) = default;
  friend auto operator<=>(const SubmitCommand&, const SubmitCommand&) = default;

private:
  explicit SubmitCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
