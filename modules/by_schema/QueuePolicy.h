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

/// Policy of one queue of jobs.
class QueuePolicy
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Host name that callers address.
    std::string mHost{};
    /// Prefix of the paths that callers address.
    std::string mPathPrefix{};
    /// Pool of workers that run its jobs.
    std::string mPool{};
    /// Priority of its jobs; zero is the highest.
    std::uint32_t mPriority{ 0 };
    /// Number of failed runs of a task, or of a gang, after which the job fails; does not apply to
    /// long-running tasks. A run of a gang counts once, however many of its members fail.
    std::uint32_t mMaxAttempts{ 0 };
    /// Factor in a job's objective, which is the time within which the job should complete: its
    /// critical path times this factor, plus the slack.
    double mSlowdownLimit{ 0 };
    /// Constant part of a job's objective.
    Time mSlack{};
    /// Advice policy; set if workers need a ticket for each step.
    std::optional<AdvicePolicy> mAdvice{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  QueuePolicy() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<QueuePolicy> Create(Fields aFields)
  {
    return QueuePolicy(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Host name that callers address.
  const std::string& Host() const { return mFields.mHost; }
  /// @returns a copy of this value with another Host.
  [[nodiscard]] QueuePolicy WithHost(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mHost = std::move(aValue);
    return copy;
  }

  /// Prefix of the paths that callers address.
  const std::string& PathPrefix() const { return mFields.mPathPrefix; }
  /// @returns a copy of this value with another PathPrefix.
  [[nodiscard]] QueuePolicy WithPathPrefix(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPathPrefix = std::move(aValue);
    return copy;
  }

  /// Pool of workers that run its jobs.
  const std::string& Pool() const { return mFields.mPool; }
  /// @returns a copy of this value with another Pool.
  [[nodiscard]] QueuePolicy WithPool(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPool = std::move(aValue);
    return copy;
  }

  /// Priority of its jobs; zero is the highest.
  std::uint32_t Priority() const { return mFields.mPriority; }
  /// @returns a copy of this value with another Priority.
  [[nodiscard]] QueuePolicy WithPriority(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Number of failed runs of a task, or of a gang, after which the job fails; does not apply to
  /// long-running tasks. A run of a gang counts once, however many of its members fail.
  std::uint32_t MaxAttempts() const { return mFields.mMaxAttempts; }
  /// @returns a copy of this value with another MaxAttempts.
  [[nodiscard]] QueuePolicy WithMaxAttempts(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxAttempts = std::move(aValue);
    return copy;
  }

  /// Factor in a job's objective, which is the time within which the job should complete: its
  /// critical path times this factor, plus the slack.
  double SlowdownLimit() const { return mFields.mSlowdownLimit; }
  /// @returns a copy of this value with another SlowdownLimit.
  [[nodiscard]] QueuePolicy WithSlowdownLimit(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlowdownLimit = std::move(aValue);
    return copy;
  }

  /// Constant part of a job's objective.
  Time Slack() const { return mFields.mSlack; }
  /// @returns a copy of this value with another Slack.
  [[nodiscard]] QueuePolicy WithSlack(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSlack = std::move(aValue);
    return copy;
  }

  /// Advice policy; set if workers need a ticket for each step.
  const std::optional<AdvicePolicy>& Advice() const { return mFields.mAdvice; }
  /// @returns a copy of this value with another Advice.
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
