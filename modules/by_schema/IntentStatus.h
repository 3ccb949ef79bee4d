#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/IntentSpec.h"
#include "by_schema/IntentState.h"
#include "by_schema/IntentTaskStatus.h"

namespace by {

/// Status of one intent, as operators see it.
class IntentStatus
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the intent.
    IntentId mIntent{};
    /// Specification of the intent.
    IntentSpec mSpec{};
    /// Whether it was confirmed; otherwise it is only planned.
    bool mConfirmed{ false };
    /// Current state.
    IntentState mState{};
    /// One sentence for human readers.
    std::string mDetail{};
    /// Status of its tasks; omitted in lists.
    std::vector<IntentTaskStatus> mTasks{};
    /// Number of running tasks.
    std::int64_t mRunning{ 0 };
    /// Number of tasks that succeeded.
    std::int64_t mSucceeded{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentStatus() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentStatus> Create(Fields aFields)
  {
    return IntentStatus(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] IntentStatus WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Specification of the intent.
  const IntentSpec& Spec() const { return mFields.mSpec; }
  /// @returns a copy of this value with another Spec.
  [[nodiscard]] IntentStatus WithSpec(IntentSpec aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpec = std::move(aValue);
    return copy;
  }

  /// Whether it was confirmed; otherwise it is only planned.
  bool Confirmed() const { return mFields.mConfirmed; }
  /// @returns a copy of this value with another Confirmed.
  [[nodiscard]] IntentStatus WithConfirmed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfirmed = std::move(aValue);
    return copy;
  }

  /// Current state.
  IntentState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] IntentStatus WithState(IntentState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// One sentence for human readers.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] IntentStatus WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  /// Status of its tasks; omitted in lists.
  const std::vector<IntentTaskStatus>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] IntentStatus WithTasks(std::vector<IntentTaskStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Number of running tasks.
  std::int64_t Running() const { return mFields.mRunning; }
  /// @returns a copy of this value with another Running.
  [[nodiscard]] IntentStatus WithRunning(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// Number of tasks that succeeded.
  std::int64_t Succeeded() const { return mFields.mSucceeded; }
  /// @returns a copy of this value with another Succeeded.
  [[nodiscard]] IntentStatus WithSucceeded(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSucceeded = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentStatus&, const IntentStatus&) = default;
  friend auto operator<=>(const IntentStatus&, const IntentStatus&) = default;

private:
  explicit IntentStatus(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
