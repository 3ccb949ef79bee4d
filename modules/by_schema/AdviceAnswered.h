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

/// Which workers may run a step.
class AdviceAnswered
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
    /// Whether an answer came.
    bool mAnswered{ false };
    /// The workers that were asked about.
    std::vector<std::string> mWorkers{};
    /// Those that may run it.
    std::vector<Ticket> mTickets{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  AdviceAnswered() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<AdviceAnswered> Create(Fields aFields)
  {
    return AdviceAnswered(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] AdviceAnswered WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// The occurrence.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns this value with another Occurrence.
  [[nodiscard]] AdviceAnswered WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// The step.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns this value with another Step.
  [[nodiscard]] AdviceAnswered WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// Whether an answer came.
  bool Answered() const { return mFields.mAnswered; }
  /// @returns this value with another Answered.
  [[nodiscard]] AdviceAnswered WithAnswered(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswered = std::move(aValue);
    return copy;
  }

  /// The workers that were asked about.
  const std::vector<std::string>& Workers() const { return mFields.mWorkers; }
  /// @returns this value with another Workers.
  [[nodiscard]] AdviceAnswered WithWorkers(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkers = std::move(aValue);
    return copy;
  }

  /// Those that may run it.
  const std::vector<Ticket>& Tickets() const { return mFields.mTickets; }
  /// @returns this value with another Tickets.
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
