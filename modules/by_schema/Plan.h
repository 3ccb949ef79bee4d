#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/IntentSpec.h"
#include "by_schema/Reason.h"

namespace by {

/// Changes that confirming an intent would make.
class Plan
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier that the intent gets.
    IntentId mIntent{};
    /// Specification of the intent.
    IntentSpec mSpec{};
    /// Version of the team's intents that the plan is based on.
    std::uint64_t mBaseVersion{ 0 };
    /// When the plan can no longer be confirmed.
    Time mExpires{};
    /// Changes, one line each.
    std::vector<std::string> mChanges{};
    /// Whether the intent can run at all.
    bool mFeasible{ false };
    /// Why it cannot run; Reason::None if it can.
    by::Reason mReason{};
    /// One sentence for human readers, with the resource and the amounts if it cannot run.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Plan() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Plan> Create(Fields aFields) { return Plan(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier that the intent gets.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] Plan WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Specification of the intent.
  const IntentSpec& Spec() const { return mFields.mSpec; }
  /// @returns a copy of this value with another Spec.
  [[nodiscard]] Plan WithSpec(IntentSpec aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpec = std::move(aValue);
    return copy;
  }

  /// Version of the team's intents that the plan is based on.
  std::uint64_t BaseVersion() const { return mFields.mBaseVersion; }
  /// @returns a copy of this value with another BaseVersion.
  [[nodiscard]] Plan WithBaseVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBaseVersion = std::move(aValue);
    return copy;
  }

  /// When the plan can no longer be confirmed.
  Time Expires() const { return mFields.mExpires; }
  /// @returns a copy of this value with another Expires.
  [[nodiscard]] Plan WithExpires(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mExpires = std::move(aValue);
    return copy;
  }

  /// Changes, one line each.
  const std::vector<std::string>& Changes() const { return mFields.mChanges; }
  /// @returns a copy of this value with another Changes.
  [[nodiscard]] Plan WithChanges(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mChanges = std::move(aValue);
    return copy;
  }

  /// Whether the intent can run at all.
  bool Feasible() const { return mFields.mFeasible; }
  /// @returns a copy of this value with another Feasible.
  [[nodiscard]] Plan WithFeasible(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mFeasible = std::move(aValue);
    return copy;
  }

  /// Why it cannot run; Reason::None if it can.
  by::Reason Reason() const { return mFields.mReason; }
  /// @returns a copy of this value with another Reason.
  [[nodiscard]] Plan WithReason(by::Reason aValue) const
  {
    auto copy = *this;
    copy.mFields.mReason = std::move(aValue);
    return copy;
  }

  /// One sentence for human readers, with the resource and the amounts if it cannot run.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] Plan WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Plan&, const Plan&) = default;
  friend auto operator<=>(const Plan&, const Plan&) = default;

private:
  explicit Plan(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
