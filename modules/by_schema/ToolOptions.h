#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/OutputFormat.h"

namespace by {

/// Options that apply to every command.
class ToolOptions
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Entry node to call.
    Endpoint mNode{};
    /// Bearer token.
    std::string mToken{};
    /// Output format.
    OutputFormat mOutput{};
    /// Timeout of the call.
    Time mTimeout{ Time::FromMilliseconds(15000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ToolOptions() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ToolOptions> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Entry node to call.
  const Endpoint& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] ToolOptions WithNode(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Bearer token.
  const std::string& Token() const { return mFields.mToken; }
  /// @returns a copy of this value with another Token.
  [[nodiscard]] ToolOptions WithToken(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mToken = std::move(aValue);
    return copy;
  }

  /// Output format.
  OutputFormat Output() const { return mFields.mOutput; }
  /// @returns a copy of this value with another Output.
  [[nodiscard]] ToolOptions WithOutput(OutputFormat aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutput = std::move(aValue);
    return copy;
  }

  /// Timeout of the call.
  Time Timeout() const { return mFields.mTimeout; }

  friend bool operator==(const ToolOptions&, const ToolOptions&) = default;
  friend auto operator<=>(const ToolOptions&, const ToolOptions&) = default;

private:
  explicit ToolOptions(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
