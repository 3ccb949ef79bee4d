#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Asks which workers may run a step.
class AskAdvice
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The job.
    std::string mJob{};
    /// The occurrence.
    std::uint32_t mOccurrence{ 0 };
    /// The step.
    std::uint32_t mStep{ 0 };
    /// The workers that are asked about.
    std::vector<std::string> mWorkers{};
    /// Bound on the answer.
    Time mPatience{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  AskAdvice() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<AskAdvice> Create(Fields aFields) { return AskAdvice(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] AskAdvice WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// The occurrence.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns this value with another Occurrence.
  [[nodiscard]] AskAdvice WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// The step.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns this value with another Step.
  [[nodiscard]] AskAdvice WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// The workers that are asked about.
  const std::vector<std::string>& Workers() const { return mFields.mWorkers; }
  /// @returns this value with another Workers.
  [[nodiscard]] AskAdvice WithWorkers(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkers = std::move(aValue);
    return copy;
  }

  /// Bound on the answer.
  Time Patience() const { return mFields.mPatience; }
  /// @returns this value with another Patience.
  [[nodiscard]] AskAdvice WithPatience(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPatience = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AskAdvice&, const AskAdvice&) = default;
  friend auto operator<=>(const AskAdvice&, const AskAdvice&) = default;

private:
  explicit AskAdvice(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
