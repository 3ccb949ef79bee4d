#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Policy of one pool of workers.
class PoolPolicy
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the pool.
    std::string mName{};
    /// Whether its workers reject tasks that exceed their capacity.
    bool mGuardsCapacity{ false };
    /// Whether its machines are switched off until they are moved to another pool.
    bool mStandby{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PoolPolicy() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PoolPolicy> Create(Fields aFields)
  {
    return PoolPolicy(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the pool.
  const std::string& Name() const { return mFields.mName; }
  /// @returns a copy of this value with another Name.
  [[nodiscard]] PoolPolicy WithName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mName = std::move(aValue);
    return copy;
  }

  /// Whether its workers reject tasks that exceed their capacity.
  bool GuardsCapacity() const { return mFields.mGuardsCapacity; }
  /// @returns a copy of this value with another GuardsCapacity.
  [[nodiscard]] PoolPolicy WithGuardsCapacity(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGuardsCapacity = std::move(aValue);
    return copy;
  }

  /// Whether its machines are switched off until they are moved to another pool.
  bool Standby() const { return mFields.mStandby; }
  /// @returns a copy of this value with another Standby.
  [[nodiscard]] PoolPolicy WithStandby(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStandby = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PoolPolicy&, const PoolPolicy&) = default;
  friend auto operator<=>(const PoolPolicy&, const PoolPolicy&) = default;

private:
  explicit PoolPolicy(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
