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
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job, chosen by its caller.
    std::string mId{};
    /// Policy of its queue at the time of acceptance.
    QueuePolicy mQueue{};
    /// Steps and schedule of the job.
    JobDefinition mDefinition{};
    /// When it was accepted, since 1970.
    Time mAccepted{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Job() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Job> Create(Fields aFields) { return Job(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job, chosen by its caller.
  const std::string& Id() const { return mFields.mId; }
  /// @returns a copy of this value with another Id.
  [[nodiscard]] Job WithId(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mId = std::move(aValue);
    return copy;
  }

  /// Policy of its queue at the time of acceptance.
  const QueuePolicy& Queue() const { return mFields.mQueue; }
  /// @returns a copy of this value with another Queue.
  [[nodiscard]] Job WithQueue(QueuePolicy aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueue = std::move(aValue);
    return copy;
  }

  /// Steps and schedule of the job.
  const JobDefinition& Definition() const { return mFields.mDefinition; }
  /// @returns a copy of this value with another Definition.
  [[nodiscard]] Job WithDefinition(JobDefinition aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  /// When it was accepted, since 1970.
  Time Accepted() const { return mFields.mAccepted; }
  /// @returns a copy of this value with another Accepted.
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
