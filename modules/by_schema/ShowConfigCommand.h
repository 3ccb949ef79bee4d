#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the configuration in force.
class ShowConfigCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to show the teams' tokens.
    bool mTokens{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ShowConfigCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ShowConfigCommand> Create(Fields aFields)
  {
    return ShowConfigCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to show the teams' tokens.
  bool Tokens() const { return mFields.mTokens; }
  /// @returns a copy of this value with another Tokens.
  [[nodiscard]] ShowConfigCommand WithTokens(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mTokens = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ShowConfigCommand&, const ShowConfigCommand&) = default;
  friend auto operator<=>(const ShowConfigCommand&, const ShowConfigCommand&) = default;

private:
  explicit ShowConfigCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
