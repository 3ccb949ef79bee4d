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
class RequestAdvice
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
    Time mTimeout{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  RequestAdvice() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<RequestAdvice> Create(Fields aFields)
  {
    return RequestAdvice(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] RequestAdvice WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// The occurrence.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns this value with another Occurrence.
  [[nodiscard]] RequestAdvice WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// The step.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns this value with another Step.
  [[nodiscard]] RequestAdvice WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// The workers that are asked about.
  const std::vector<std::string>& Workers() const { return mFields.mWorkers; }
  /// @returns this value with another Workers.
  [[nodiscard]] RequestAdvice WithWorkers(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkers = std::move(aValue);
    return copy;
  }

  /// Bound on the answer.
  Time Timeout() const { return mFields.mTimeout; }
  /// @returns this value with another Timeout.
  [[nodiscard]] RequestAdvice WithTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTimeout = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RequestAdvice&, const RequestAdvice&) = default;
  friend auto operator<=>(const RequestAdvice&, const RequestAdvice&) = default;

private:
  explicit RequestAdvice(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
