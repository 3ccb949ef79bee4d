#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/WorkerRegistration.h"

namespace by {

/// The registry of workers changed.
class WorkersChanged
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether the message lists all registered workers.
    bool mComplete{ false };
    /// New and changed registrations.
    std::vector<WorkerRegistration> mPresent{};
    /// Names of workers that are no longer registered.
    std::vector<std::string> mGone{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkersChanged() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkersChanged> Create(Fields aFields)
  {
    return WorkersChanged(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether the message lists all registered workers.
  bool Complete() const { return mFields.mComplete; }
  /// @returns a copy of this value with another Complete.
  [[nodiscard]] WorkersChanged WithComplete(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mComplete = std::move(aValue);
    return copy;
  }

  /// New and changed registrations.
  const std::vector<WorkerRegistration>& Present() const { return mFields.mPresent; }
  /// @returns a copy of this value with another Present.
  [[nodiscard]] WorkersChanged WithPresent(std::vector<WorkerRegistration> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPresent = std::move(aValue);
    return copy;
  }

  /// Names of workers that are no longer registered.
  const std::vector<std::string>& Gone() const { return mFields.mGone; }
  /// @returns a copy of this value with another Gone.
  [[nodiscard]] WorkersChanged WithGone(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mGone = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkersChanged&, const WorkersChanged&) = default;
  friend auto operator<=>(const WorkersChanged&, const WorkersChanged&) = default;

private:
  explicit WorkersChanged(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
