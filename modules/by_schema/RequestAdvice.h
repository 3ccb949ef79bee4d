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

/// Queries the advice service for the workers that may run a step.
class RequestAdvice
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Index of the occurrence, from 0.
    std::uint32_t mOccurrence{ 0 };
    /// Index of the step, from 0.
    std::uint32_t mStep{ 0 };
    /// Names of the candidate workers.
    std::vector<std::string> mWorkers{};
    /// Timeout of the query.
    Time mTimeout{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestAdvice() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestAdvice> Create(Fields aFields)
  {
    return RequestAdvice(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] RequestAdvice WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] RequestAdvice WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the step, from 0.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns a copy of this value with another Step.
  [[nodiscard]] RequestAdvice WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// Names of the candidate workers.
  const std::vector<std::string>& Workers() const { return mFields.mWorkers; }
  /// @returns a copy of this value with another Workers.
  [[nodiscard]] RequestAdvice WithWorkers(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkers = std::move(aValue);
    return copy;
  }

  /// Timeout of the query.
  Time Timeout() const { return mFields.mTimeout; }
  /// @returns a copy of this value with another Timeout.
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
