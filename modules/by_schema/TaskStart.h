#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"

namespace by {

/// Starts a task under the owner's lease.
class TaskStart
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Attempt of a request, or generation of an assignment, from 1.
    std::uint64_t mGeneration{ 0 };
    /// Entry node that owns the rack.
    NodeId mOwner{};
    /// Epoch of the owner for the rack.
    std::uint64_t mEpoch{ 0 };
    /// The server refuses the start after this time.
    Time mNotAfter{};
    /// Team that the task runs for.
    TeamId mTeam{};
    /// Caller's label of the request, or the intent.
    std::string mLabel{};
    /// Kind of work.
    std::string mKind{};
    /// Whether the task may run again after a failure.
    bool mIdempotent{ false };
    /// Class of work that the task belongs to.
    by::WorkClass mWorkClass{};
    /// Resources that the task requests.
    by::Resources mResources{};
    /// Declared run time; zero for none.
    Time mDeclaredLength{};
    /// Opaque data for the task.
    std::string mPayload{};
    /// Server process that granted the lease; any other process refuses the start. Zero for any.
    std::uint64_t mIncarnation{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskStart() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskStart> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }

  /// Attempt of a request, or generation of an assignment, from 1.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskStart WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Entry node that owns the rack.
  const NodeId& Owner() const { return mFields.mOwner; }
  /// @returns a copy of this value with another Owner.
  [[nodiscard]] TaskStart WithOwner(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwner = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner for the rack.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] TaskStart WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// The server refuses the start after this time.
  Time NotAfter() const { return mFields.mNotAfter; }
  /// @returns a copy of this value with another NotAfter.
  [[nodiscard]] TaskStart WithNotAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mNotAfter = std::move(aValue);
    return copy;
  }

  /// Team that the task runs for.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] TaskStart WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Caller's label of the request, or the intent.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] TaskStart WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  /// Kind of work.
  const std::string& Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] TaskStart WithKind(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// Whether the task may run again after a failure.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns a copy of this value with another Idempotent.
  [[nodiscard]] TaskStart WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// Class of work that the task belongs to.
  by::WorkClass WorkClass() const { return mFields.mWorkClass; }
  /// @returns a copy of this value with another WorkClass.
  [[nodiscard]] TaskStart WithWorkClass(by::WorkClass aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkClass = std::move(aValue);
    return copy;
  }

  /// Resources that the task requests.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] TaskStart WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// Declared run time; zero for none.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }
  /// @returns a copy of this value with another DeclaredLength.
  [[nodiscard]] TaskStart WithDeclaredLength(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDeclaredLength = std::move(aValue);
    return copy;
  }

  /// Opaque data for the task.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] TaskStart WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// Server process that granted the lease; any other process refuses the start. Zero for any.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] TaskStart WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskStart&, const TaskStart&) = default;
  friend auto operator<=>(const TaskStart&, const TaskStart&) = default;

private:
  explicit TaskStart(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
