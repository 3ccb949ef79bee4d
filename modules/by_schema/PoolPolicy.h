#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// One pool of workers.
class PoolPolicy
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Its name.
    std::string mName{};
    /// Whether its workers refuse what does not fit.
    bool mGuardsCapacity{ false };
    /// Whether its machines are switched off until they are moved elsewhere.
    bool mStandby{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  PoolPolicy() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<PoolPolicy> Create(Fields aFields)
  {
    return PoolPolicy(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Its name.
  const std::string& Name() const { return mFields.mName; }
  /// @returns this value with another Name.
  [[nodiscard]] PoolPolicy WithName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mName = std::move(aValue);
    return copy;
  }

  /// Whether its workers refuse what does not fit.
  bool GuardsCapacity() const { return mFields.mGuardsCapacity; }
  /// @returns this value with another GuardsCapacity.
  [[nodiscard]] PoolPolicy WithGuardsCapacity(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGuardsCapacity = std::move(aValue);
    return copy;
  }

  /// Whether its machines are switched off until they are moved elsewhere.
  bool Standby() const { return mFields.mStandby; }
  /// @returns this value with another Standby.
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
