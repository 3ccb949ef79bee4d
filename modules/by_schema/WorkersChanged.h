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

/// The workers of the cluster that changed.
class WorkersChanged
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether these are all workers there are.
    bool mComplete{ false };
    /// New or changed ones.
    std::vector<WorkerRegistration> mPresent{};
    /// Names of those that are registered no more.
    std::vector<std::string> mGone{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkersChanged() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkersChanged> Create(Fields aFields)
  {
    return WorkersChanged(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether these are all workers there are.
  bool Complete() const { return mFields.mComplete; }
  /// @returns this value with another Complete.
  [[nodiscard]] WorkersChanged WithComplete(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mComplete = std::move(aValue);
    return copy;
  }

  /// New or changed ones.
  const std::vector<WorkerRegistration>& Present() const { return mFields.mPresent; }
  /// @returns this value with another Present.
  [[nodiscard]] WorkersChanged WithPresent(std::vector<WorkerRegistration> aValue) const
  {
    auto copy = *this;
    copy.mFields.mPresent = std::move(aValue);
    return copy;
  }

  /// Names of those that are registered no more.
  const std::vector<std::string>& Gone() const { return mFields.mGone; }
  /// @returns this value with another Gone.
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
