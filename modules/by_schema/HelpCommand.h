#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Prints how a command is used.
class HelpCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the command; empty for all commands.
    std::string mTopic{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HelpCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HelpCommand> Create(Fields aFields)
  {
    return HelpCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the command; empty for all commands.
  const std::string& Topic() const { return mFields.mTopic; }
  /// @returns a copy of this value with another Topic.
  [[nodiscard]] HelpCommand WithTopic(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mTopic = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HelpCommand&, const HelpCommand&) = default;
  friend auto operator<=>(const HelpCommand&, const HelpCommand&) = default;

private:
  explicit HelpCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
