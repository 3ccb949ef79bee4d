#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// A backend server did not answer a lease request.
class LeaseFailed
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM that did not answer.
    VmId mVm{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaseFailed() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaseFailed> Create(Fields aFields)
  {
    return LeaseFailed(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM that did not answer.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] LeaseFailed WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaseFailed&, const LeaseFailed&) = default;
  friend auto operator<=>(const LeaseFailed&, const LeaseFailed&) = default;

private:
  explicit LeaseFailed(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
