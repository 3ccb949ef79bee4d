#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/AdvicePolicy.h"

namespace by {

/// One queue of jobs.
class QueuePolicy
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The host name that callers use.
    std::string mHost{};
    /// The start of its paths.
    std::string mPathPrefix{};
    /// The pool of workers that run its jobs.
    std::string mPool{};
    /// Zero comes first.
    std::uint32_t mPriority{ 0 };
    /// Runs of a task that may fail.
    std::uint32_t mMaxAttempts{ 0 };
    /// The objective of a job is this many times its longest chain of work, and the slack.
    double mSlowdownLimit{ 0 };
    /// What is added to the objective.
    Time mSlack{};
    /// Set where workers need a ticket for each step.
    std::optional<AdvicePolicy> mAdvice{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  QueuePolicy() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<QueuePolicy> Create(Fields aFields)
  {
    return QueuePolicy(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The host name that callers use.
  const std::string& Host() const { return mFields.mHost; }
  /// @returns this value with another Host.
  [[nodiscard]] QueuePolicy WithHost(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mHost = std::move(aValue);
    return copy;
  }

  /// The start of its paths.
  const std::string& PathPrefix() const { return mFields.mPathPrefix; }
  /// @returns this value with another PathPrefix.
  [[nodiscard]] QueuePolicy WithPathPrefix(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPathPrefix = std::move(aValue);
    return copy;
  }

  /// The pool of workers that run its jobs.
  const std::string& Pool() const { return mFields.mPool; }
  /// @returns this value with another Pool.
  [[nodiscard]] QueuePolicy WithPool(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPool = std::move(aValue);
    return copy;
  }

  /// Zero comes first.
  std::uint32_t Priority() const { return mFields.mPriority; }
  /// @returns this value with another Priority.
  [[nodiscard]] QueuePolicy WithPriority(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Runs of a task that may fail.
  std::uint32_t MaxAttempts() const { return mFields.mMaxAttempts; }
  /// @returns this value with another MaxAttempts.
  [[nodiscard]] QueuePolicy WithMaxAttempts(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxAttempts = std::move(aValue);
    return copy;
  }

  /// The objective of a job is this many times its longest chain of work, and the slack.
  double SlowdownLimit() const { return mFields.mSlowdownLimit; }
  /// @returns this value with another SlowdownLimit.
  [[nodiscard]] QueuePolicy WithSlowdownLimit(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlowdownLimit = std::move(aValue);
    return copy;
  }

  /// What is added to the objective.
  Time Slack() const { return mFields.mSlack; }
  /// @returns this value with another Slack.
  [[nodiscard]] QueuePolicy WithSlack(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlack = std::move(aValue);
    return copy;
  }

  /// Set where workers need a ticket for each step.
  const std::optional<AdvicePolicy>& Advice() const { return mFields.mAdvice; }
  /// @returns this value with another Advice.
  [[nodiscard]] QueuePolicy WithAdvice(std::optional<AdvicePolicy> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAdvice = std::move(aValue);
    return copy;
  }

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
  friend auto operator<=>(const QueuePolicy&, const QueuePolicy&) = default;

private:
  explicit QueuePolicy(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
