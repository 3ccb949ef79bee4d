#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Publishes a configuration.
class PublishCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// File that holds the configuration.
    std::string mFile{};
    /// Version that the configuration is based on.
    std::uint64_t mBaseVersion{ 0 };
    /// Operator who publishes it.
    std::string mOperatorName{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PublishCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PublishCommand> Create(Fields aFields)
  {
    return PublishCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// File that holds the configuration.
  const std::string& File() const { return mFields.mFile; }
  /// @returns a copy of this value with another File.
  [[nodiscard]] PublishCommand WithFile(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mFile = std::move(aValue);
    return copy;
  }

  /// Version that the configuration is based on.
  std::uint64_t BaseVersion() const { return mFields.mBaseVersion; }
  /// @returns a copy of this value with another BaseVersion.
  [[nodiscard]] PublishCommand WithBaseVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBaseVersion = std::move(aValue);
    return copy;
  }

  /// Operator who publishes it.
  const std::string& OperatorName() const { return mFields.mOperatorName; }
  /// @returns a copy of this value with another OperatorName.
  [[nodiscard]] PublishCommand WithOperatorName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOperatorName = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PublishCommand&, const PublishCommand&) = default;
  friend auto operator<=>(const PublishCommand&, const PublishCommand&) = default;

private:
  explicit PublishCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
