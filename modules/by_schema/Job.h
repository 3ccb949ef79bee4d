#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobDefinition.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// A job as it was accepted.
class Job
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The name that its caller chose.
    std::string mId{};
    /// The queue's policy at that time.
    QueuePolicy mQueue{};
    /// What it consists of.
    JobDefinition mDefinition{};
    /// When it was accepted, since 1970.
    Time mAccepted{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  Job() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<Job> Create(Fields aFields) { return Job(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The name that its caller chose.
  const std::string& Id() const { return mFields.mId; }
  /// @returns this value with another Id.
  [[nodiscard]] Job WithId(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mId = std::move(aValue);
    return copy;
  }

  /// The queue's policy at that time.
  const QueuePolicy& Queue() const { return mFields.mQueue; }
  /// @returns this value with another Queue.
  [[nodiscard]] Job WithQueue(QueuePolicy aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueue = std::move(aValue);
    return copy;
  }

  /// What it consists of.
  const JobDefinition& Definition() const { return mFields.mDefinition; }
  /// @returns this value with another Definition.
  [[nodiscard]] Job WithDefinition(JobDefinition aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  /// When it was accepted, since 1970.
  Time Accepted() const { return mFields.mAccepted; }
  /// @returns this value with another Accepted.
  [[nodiscard]] Job WithAccepted(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAccepted = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Job&, const Job&) = default;
  friend auto operator<=>(const Job&, const Job&) = default;

private:
  explicit Job(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
