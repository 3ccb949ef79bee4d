#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Priority.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"

namespace by {

/// Specification of the tasks that an operator requests.
class IntentSpec
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Operator's name for the intent.
    std::string mName{};
    /// Team that the tasks run for.
    TeamId mTeam{};
    /// Class of work: service, batch or gang.
    by::WorkClass mWorkClass{};
    /// Number of tasks.
    std::int64_t mTasks{ 1 };
    /// Resources that each task requests.
    by::Resources mResources{};
    /// How the tasks are treated when capacity is short.
    by::Priority mPriority{};
    /// Kind of work; run times are estimated for each kind.
    std::string mKind{ "task" };
    /// Run time that the operator expects of a task; zero if the operator does not say.
    Time mDeclaredLength{};
    /// Number of failed attempts at a task, or at a gang as a whole, after which the intent fails;
    /// does not apply to services.
    std::int64_t mMaxAttempts{ 3 };
    /// Whether a task may run again after it may have run.
    bool mIdempotent{ true };
    /// Opaque data for each task.
    std::string mPayload{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentSpec() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentSpec> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Operator's name for the intent.
  const std::string& Name() const { return mFields.mName; }

  /// Team that the tasks run for.
  const TeamId& Team() const { return mFields.mTeam; }

  /// Class of work: service, batch or gang.
  by::WorkClass WorkClass() const { return mFields.mWorkClass; }
  /// @returns a copy of this value with another WorkClass.
  [[nodiscard]] IntentSpec WithWorkClass(by::WorkClass aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkClass = std::move(aValue);
    return copy;
  }

  /// Number of tasks.
  std::int64_t Tasks() const { return mFields.mTasks; }

  /// Resources that each task requests.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] IntentSpec WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// How the tasks are treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns a copy of this value with another Priority.
  [[nodiscard]] IntentSpec WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Kind of work; run times are estimated for each kind.
  const std::string& Kind() const { return mFields.mKind; }

  /// Run time that the operator expects of a task; zero if the operator does not say.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }

  /// Number of failed attempts at a task, or at a gang as a whole, after which the intent fails;
  /// does not apply to services.
  std::int64_t MaxAttempts() const { return mFields.mMaxAttempts; }

  /// Whether a task may run again after it may have run.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns a copy of this value with another Idempotent.
  [[nodiscard]] IntentSpec WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// Opaque data for each task.
  const std::string& Payload() const { return mFields.mPayload; }

  friend bool operator==(const IntentSpec&, const IntentSpec&) = default;
  friend auto operator<=>(const IntentSpec&, const IntentSpec&) = default;

private:
  explicit IntentSpec(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
