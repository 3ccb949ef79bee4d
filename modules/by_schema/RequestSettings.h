#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Retries and limits of requests.
class RequestSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Maximum number of attempts of an idempotent request.
    std::int64_t mMaxAttempts{ 3 };
    /// Maximum number of retries relative to the number of first attempts, over all requests of the
    /// node.
    std::int64_t mRetryBudgetPercent{ 10 };
    /// How long answers of non-idempotent requests are kept for repeated requests.
    Time mAnswerRetention{ Time::FromMilliseconds(600000) };
    /// Maximum run time of an attempt; after it the outcome is unknown.
    Time mRunLimit{ Time::FromMilliseconds(3600000) };
    /// How long a plan can be confirmed.
    Time mPlanExpiry{ Time::FromMilliseconds(300000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Maximum number of attempts of an idempotent request.
  std::int64_t MaxAttempts() const { return mFields.mMaxAttempts; }

  /// Maximum number of retries relative to the number of first attempts, over all requests of the
  /// node.
  std::int64_t RetryBudgetPercent() const { return mFields.mRetryBudgetPercent; }

  /// How long answers of non-idempotent requests are kept for repeated requests.
  Time AnswerRetention() const { return mFields.mAnswerRetention; }

  /// Maximum run time of an attempt; after it the outcome is unknown.
  Time RunLimit() const { return mFields.mRunLimit; }

  /// How long a plan can be confirmed.
  Time PlanExpiry() const { return mFields.mPlanExpiry; }

  friend bool operator==(const RequestSettings&, const RequestSettings&) = default;
  friend auto operator<=>(const RequestSettings&, const RequestSettings&) = default;

private:
  explicit RequestSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
