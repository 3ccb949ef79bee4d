#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows that a link is alive, both ways.
class LinkHeartbeat
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The highest epoch that the sender knows.
    std::uint64_t mEpoch{ 0 };
    /// Whether the sender acts as owner.
    bool mOwner{ false };
    /// Whether the sender owns the cell and the store does not take its records.
    bool mStoreLost{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LinkHeartbeat() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LinkHeartbeat> Create(Fields aFields)
  {
    return LinkHeartbeat(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The highest epoch that the sender knows.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] LinkHeartbeat WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Whether the sender acts as owner.
  bool Owner() const { return mFields.mOwner; }
  /// @returns this value with another Owner.
  [[nodiscard]] LinkHeartbeat WithOwner(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwner = std::move(aValue);
    return copy;
  }

  /// Whether the sender owns the cell and the store does not take its records.
  bool StoreLost() const { return mFields.mStoreLost; }
  /// @returns this value with another StoreLost.
  [[nodiscard]] LinkHeartbeat WithStoreLost(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStoreLost = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkHeartbeat&, const LinkHeartbeat&) = default;
  friend auto operator<=>(const LinkHeartbeat&, const LinkHeartbeat&) = default;

private:
  explicit LinkHeartbeat(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
