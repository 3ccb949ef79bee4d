#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ExitCode.h"

namespace by {

/// Output and exit code of the tool.
class ToolOutput
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Exit code.
    by::ExitCode mExitCode{};
    /// Text for standard output.
    std::string mOut{};
    /// Text for standard error: one line, or one line for each finding.
    std::string mErr{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ToolOutput() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ToolOutput> Create(Fields aFields)
  {
    return ToolOutput(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Exit code.
  by::ExitCode ExitCode() const { return mFields.mExitCode; }
  /// @returns a copy of this value with another ExitCode.
  [[nodiscard]] ToolOutput WithExitCode(by::ExitCode aValue) const
  {
    auto copy = *this;
    copy.mFields.mExitCode = std::move(aValue);
    return copy;
  }

  /// Text for standard output.
  const std::string& Out() const { return mFields.mOut; }
  /// @returns a copy of this value with another Out.
  [[nodiscard]] ToolOutput WithOut(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOut = std::move(aValue);
    return copy;
  }

  /// Text for standard error: one line, or one line for each finding.
  const std::string& Err() const { return mFields.mErr; }
  /// @returns a copy of this value with another Err.
  [[nodiscard]] ToolOutput WithErr(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mErr = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ToolOutput&, const ToolOutput&) = default;
  friend auto operator<=>(const ToolOutput&, const ToolOutput&) = default;

private:
  explicit ToolOutput(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
