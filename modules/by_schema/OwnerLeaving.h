#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Announces that the owner is about to leave the cell, because it stops or hands the cell over.
class OwnerLeaving
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Epoch of the owner that leaves.
    std::uint64_t mEpoch{ 0 };
    /// Node that the owner hands the cell to; empty if any node may claim it, and the owner itself
    /// if it withdraws a handover.
    std::string mSuccessor{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  OwnerLeaving() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<OwnerLeaving> Create(Fields aFields)
  {
    return OwnerLeaving(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Epoch of the owner that leaves.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] OwnerLeaving WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Node that the owner hands the cell to; empty if any node may claim it, and the owner itself if
  /// it withdraws a handover.
  const std::string& Successor() const { return mFields.mSuccessor; }
  /// @returns a copy of this value with another Successor.
  [[nodiscard]] OwnerLeaving WithSuccessor(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSuccessor = std::move(aValue);
    return copy;
  }

  friend bool operator==(const OwnerLeaving&, const OwnerLeaving&) = default;
  friend auto operator<=>(const OwnerLeaving&, const OwnerLeaving&) = default;

private:
  explicit OwnerLeaving(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
