#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Outcome.h"
#include "by_schema/Reason.h"

namespace by {

/// Complete answer to one attempt of a request.
class Answer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Request that is answered.
    RequestId mRequest{};
    /// Number of the attempt, from 1.
    std::uint32_t mAttempt{ 0 };
    /// Outcome of the attempt.
    by::Outcome mOutcome{};
    /// Reason for the outcome if the request was not answered.
    by::Reason mReason{};
    /// One sentence for human readers.
    std::string mDetail{};
    /// Result of the task.
    std::string mPayload{};
    /// VM that ran the task; empty if it did not run.
    VmId mVm{};
    /// How long the request waited before it started.
    Time mWaited{};
    /// How long the task ran.
    Time mRan{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Answer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Answer> Create(Fields aFields) { return Answer(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Request that is answered.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] Answer WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Number of the attempt, from 1.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns a copy of this value with another Attempt.
  [[nodiscard]] Answer WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  /// Outcome of the attempt.
  by::Outcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] Answer WithOutcome(by::Outcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Reason for the outcome if the request was not answered.
  by::Reason Reason() const { return mFields.mReason; }
  /// @returns a copy of this value with another Reason.
  [[nodiscard]] Answer WithReason(by::Reason aValue) const
  {
    auto copy = *this;
    copy.mFields.mReason = std::move(aValue);
    return copy;
  }

  /// One sentence for human readers.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] Answer WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  /// Result of the task.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] Answer WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// VM that ran the task; empty if it did not run.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] Answer WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// How long the request waited before it started.
  Time Waited() const { return mFields.mWaited; }
  /// @returns a copy of this value with another Waited.
  [[nodiscard]] Answer WithWaited(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWaited = std::move(aValue);
    return copy;
  }

  /// How long the task ran.
  Time Ran() const { return mFields.mRan; }
  /// @returns a copy of this value with another Ran.
  [[nodiscard]] Answer WithRan(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRan = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Answer&, const Answer&) = default;
  friend auto operator<=>(const Answer&, const Answer&) = default;

private:
  explicit Answer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
