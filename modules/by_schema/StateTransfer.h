#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LogStateImage.h"

namespace by {

/// Folded state of a node.
class StateTransfer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Log offset up to which the records are folded.
    std::uint64_t mNextOffset{ 0 };
    /// All rows of the state.
    LogStateImage mImage{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StateTransfer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StateTransfer> Create(Fields aFields)
  {
    return StateTransfer(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Log offset up to which the records are folded.
  std::uint64_t NextOffset() const { return mFields.mNextOffset; }
  /// @returns a copy of this value with another NextOffset.
  [[nodiscard]] StateTransfer WithNextOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextOffset = std::move(aValue);
    return copy;
  }

  /// All rows of the state.
  const LogStateImage& Image() const { return mFields.mImage; }
  /// @returns a copy of this value with another Image.
  [[nodiscard]] StateTransfer WithImage(LogStateImage aValue) const
  {
    auto copy = *this;
    copy.mFields.mImage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StateTransfer&, const StateTransfer&) = default;
  friend auto operator<=>(const StateTransfer&, const StateTransfer&) = default;

private:
  explicit StateTransfer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
