#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/FileKind.h"

namespace by {

/// Checks a file without calling a node.
class CheckFileCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Path of the file.
    std::string mFile{};
    /// Kind of its content.
    FileKind mKind{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CheckFileCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CheckFileCommand> Create(Fields aFields)
  {
    return CheckFileCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Path of the file.
  const std::string& File() const { return mFields.mFile; }
  /// @returns a copy of this value with another File.
  [[nodiscard]] CheckFileCommand WithFile(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mFile = std::move(aValue);
    return copy;
  }

  /// Kind of its content.
  FileKind Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] CheckFileCommand WithKind(FileKind aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CheckFileCommand&, const CheckFileCommand&) = default;
  friend auto operator<=>(const CheckFileCommand&, const CheckFileCommand&) = default;

private:
  explicit CheckFileCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
