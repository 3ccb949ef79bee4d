#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobStep.h"

namespace by {

/// Job as its caller submitted it.
class JobDefinition
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Opaque data that is passed to each task unchanged.
    std::string mPayload{};
    /// Steps of the job.
    std::vector<JobStep> mSteps{};
    /// Number of times the steps run on a schedule; zero to run them once, at once.
    std::uint32_t mOccurrences{ 0 };
    /// Start of the first occurrence, since 1970.
    Time mFirstDue{};
    /// Time between the starts of two occurrences.
    Time mInterval{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobDefinition() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobDefinition> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Opaque data that is passed to each task unchanged.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] JobDefinition WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// Steps of the job.
  const std::vector<JobStep>& Steps() const { return mFields.mSteps; }

  /// Number of times the steps run on a schedule; zero to run them once, at once.
  std::uint32_t Occurrences() const { return mFields.mOccurrences; }
  /// @returns a copy of this value with another Occurrences.
  [[nodiscard]] JobDefinition WithOccurrences(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrences = std::move(aValue);
    return copy;
  }

  /// Start of the first occurrence, since 1970.
  Time FirstDue() const { return mFields.mFirstDue; }
  /// @returns a copy of this value with another FirstDue.
  [[nodiscard]] JobDefinition WithFirstDue(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstDue = std::move(aValue);
    return copy;
  }

  /// Time between the starts of two occurrences.
  Time Interval() const { return mFields.mInterval; }
  /// @returns a copy of this value with another Interval.
  [[nodiscard]] JobDefinition WithInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mInterval = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobDefinition&, const JobDefinition&) = default;
  friend auto operator<=>(const JobDefinition&, const JobDefinition&) = default;

private:
  explicit JobDefinition(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
