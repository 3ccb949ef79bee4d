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

/// A job as its caller wrote it.
class JobDefinition
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Passed to each task unchanged.
    std::string mPayload{};
    /// The steps.
    std::vector<JobStep> mSteps{};
    /// How often the steps run on a schedule; zero for once, at once.
    std::uint32_t mOccurrences{ 0 };
    /// When the first occurrence is due, since 1970.
    Time mFirstDue{};
    /// Time between occurrences.
    Time mInterval{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobDefinition() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobDefinition> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Passed to each task unchanged.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns this value with another Payload.
  [[nodiscard]] JobDefinition WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// The steps.
  const std::vector<JobStep>& Steps() const { return mFields.mSteps; }

  /// How often the steps run on a schedule; zero for once, at once.
  std::uint32_t Occurrences() const { return mFields.mOccurrences; }
  /// @returns this value with another Occurrences.
  [[nodiscard]] JobDefinition WithOccurrences(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrences = std::move(aValue);
    return copy;
  }

  /// When the first occurrence is due, since 1970.
  Time FirstDue() const { return mFields.mFirstDue; }
  /// @returns this value with another FirstDue.
  [[nodiscard]] JobDefinition WithFirstDue(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstDue = std::move(aValue);
    return copy;
  }

  /// Time between occurrences.
  Time Interval() const { return mFields.mInterval; }
  /// @returns this value with another Interval.
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
