#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Ticket.h"

namespace by {

/// An advice query was answered, or failed.
class AdviceAnswered
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
    /// Whether the service answered.
    bool mAnswered{ false };
    /// Names of the candidate workers that the query listed.
    std::vector<std::string> mWorkers{};
    /// Tickets of the workers that may run the step.
    std::vector<Ticket> mTickets{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AdviceAnswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AdviceAnswered> Create(Fields aFields)
  {
    return AdviceAnswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] AdviceAnswered WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] AdviceAnswered WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the step, from 0.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns a copy of this value with another Step.
  [[nodiscard]] AdviceAnswered WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// Whether the service answered.
  bool Answered() const { return mFields.mAnswered; }
  /// @returns a copy of this value with another Answered.
  [[nodiscard]] AdviceAnswered WithAnswered(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswered = std::move(aValue);
    return copy;
  }

  /// Names of the candidate workers that the query listed.
  const std::vector<std::string>& Workers() const { return mFields.mWorkers; }
  /// @returns a copy of this value with another Workers.
  [[nodiscard]] AdviceAnswered WithWorkers(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkers = std::move(aValue);
    return copy;
  }

  /// Tickets of the workers that may run the step.
  const std::vector<Ticket>& Tickets() const { return mFields.mTickets; }
  /// @returns a copy of this value with another Tickets.
  [[nodiscard]] AdviceAnswered WithTickets(std::vector<Ticket> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTickets = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AdviceAnswered&, const AdviceAnswered&) = default;
  friend auto operator<=>(const AdviceAnswered&, const AdviceAnswered&) = default;

private:
  explicit AdviceAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
