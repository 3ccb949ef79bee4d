#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Row of the table of gangs that wait on one node.
class QueuedGang
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// All its tasks; those that hold room already are in the table of running tasks too.
    std::vector<WorkItem> mTasks{};
    /// Its place in the order of arrival.
    std::uint64_t mSequence{ 0 };
    /// Gathering is given up then; zero while it has not begun.
    Time mReservationDeadline{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  QueuedGang() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<QueuedGang> Create(Fields aFields)
  {
    return QueuedGang(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// All its tasks; those that hold room already are in the table of running tasks too.
  const std::vector<WorkItem>& Tasks() const { return mFields.mTasks; }
  /// @returns this value with another Tasks.
  [[nodiscard]] QueuedGang WithTasks(std::vector<WorkItem> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Its place in the order of arrival.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns this value with another Sequence.
  [[nodiscard]] QueuedGang WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// Gathering is given up then; zero while it has not begun.
  Time ReservationDeadline() const { return mFields.mReservationDeadline; }
  /// @returns this value with another ReservationDeadline.
  [[nodiscard]] QueuedGang WithReservationDeadline(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReservationDeadline = std::move(aValue);
    return copy;
  }

  friend bool operator==(const QueuedGang&, const QueuedGang&) = default;
  friend auto operator<=>(const QueuedGang&, const QueuedGang&) = default;

private:
  explicit QueuedGang(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
