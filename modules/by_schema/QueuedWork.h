#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Lane.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Row of the table of waiting tasks.
class QueuedWork
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Task that waits.
    WorkItem mItem{};
    /// Lane in which the task waits.
    by::Lane mLane{};
    /// Sequence number in the order of arrival.
    std::uint64_t mSequence{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  QueuedWork() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<QueuedWork> Create(Fields aFields)
  {
    return QueuedWork(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Task that waits.
  const WorkItem& Item() const { return mFields.mItem; }
  /// @returns a copy of this value with another Item.
  [[nodiscard]] QueuedWork WithItem(WorkItem aValue) const
  {
    auto copy = *this;
    copy.mFields.mItem = std::move(aValue);
    return copy;
  }

  /// Lane in which the task waits.
  by::Lane Lane() const { return mFields.mLane; }
  /// @returns a copy of this value with another Lane.
  [[nodiscard]] QueuedWork WithLane(by::Lane aValue) const
  {
    auto copy = *this;
    copy.mFields.mLane = std::move(aValue);
    return copy;
  }

  /// Sequence number in the order of arrival.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] QueuedWork WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  friend bool operator==(const QueuedWork&, const QueuedWork&) = default;
  friend auto operator<=>(const QueuedWork&, const QueuedWork&) = default;

private:
  explicit QueuedWork(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
