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

/// Row of the table of waiting gangs of one node.
class QueuedGang
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// All tasks of the gang; those that already hold resources are also in the table of running
    /// tasks.
    std::vector<WorkItem> mTasks{};
    /// Sequence number in the order of arrival.
    std::uint64_t mSequence{ 0 };
    /// When the gang reservation is abandoned; zero before it has begun.
    Time mReservationDeadline{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  QueuedGang() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<QueuedGang> Create(Fields aFields)
  {
    return QueuedGang(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// All tasks of the gang; those that already hold resources are also in the table of running
  /// tasks.
  const std::vector<WorkItem>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] QueuedGang WithTasks(std::vector<WorkItem> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Sequence number in the order of arrival.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] QueuedGang WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// When the gang reservation is abandoned; zero before it has begun.
  Time ReservationDeadline() const { return mFields.mReservationDeadline; }
  /// @returns a copy of this value with another ReservationDeadline.
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
