#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Counters of a backend server that reveal broken guarantees, as seen from outside the system.
class BackendCounters
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of accepted starts.
    std::int64_t mStarted{ 0 };
    /// Number of starts that were refused because of a lower epoch, because no lease was held under
    /// the epoch, because they were meant for another process, or because their time had passed.
    std::int64_t mFenced{ 0 };
    /// Number of starts that were refused because the tasks would have held more resources than the
    /// VM has.
    std::int64_t mOvercommitted{ 0 };
    /// Number of starts that repeated a run on this server: of a task that was running, of a
    /// generation that had already run, or of a non-idempotent task that had already run.
    std::int64_t mDoubled{ 0 };
    /// Number of running tasks.
    std::int64_t mRunning{ 0 };
    /// Team, label and task of every non-idempotent start as "TEAM/LABEL/TASK", to detect runs that
    /// were repeated on several servers.
    std::vector<std::string> mNonIdempotentRuns{};
    /// Number of connections that were refused because the limit was reached.
    std::int64_t mRefusedConnections{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  BackendCounters() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<BackendCounters> Create(Fields aFields)
  {
    return BackendCounters(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of accepted starts.
  std::int64_t Started() const { return mFields.mStarted; }
  /// @returns a copy of this value with another Started.
  [[nodiscard]] BackendCounters WithStarted(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStarted = std::move(aValue);
    return copy;
  }

  /// Number of starts that were refused because of a lower epoch, because no lease was held under
  /// the epoch, because they were meant for another process, or because their time had passed.
  std::int64_t Fenced() const { return mFields.mFenced; }
  /// @returns a copy of this value with another Fenced.
  [[nodiscard]] BackendCounters WithFenced(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFenced = std::move(aValue);
    return copy;
  }

  /// Number of starts that were refused because the tasks would have held more resources than the
  /// VM has.
  std::int64_t Overcommitted() const { return mFields.mOvercommitted; }
  /// @returns a copy of this value with another Overcommitted.
  [[nodiscard]] BackendCounters WithOvercommitted(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOvercommitted = std::move(aValue);
    return copy;
  }

  /// Number of starts that repeated a run on this server: of a task that was running, of a
  /// generation that had already run, or of a non-idempotent task that had already run.
  std::int64_t Doubled() const { return mFields.mDoubled; }
  /// @returns a copy of this value with another Doubled.
  [[nodiscard]] BackendCounters WithDoubled(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDoubled = std::move(aValue);
    return copy;
  }

  /// Number of running tasks.
  std::int64_t Running() const { return mFields.mRunning; }
  /// @returns a copy of this value with another Running.
  [[nodiscard]] BackendCounters WithRunning(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRunning = std::move(aValue);
    return copy;
  }

  /// Team, label and task of every non-idempotent start as "TEAM/LABEL/TASK", to detect runs that
  /// were repeated on several servers.
  const std::vector<std::string>& NonIdempotentRuns() const { return mFields.mNonIdempotentRuns; }
  /// @returns a copy of this value with another NonIdempotentRuns.
  [[nodiscard]] BackendCounters WithNonIdempotentRuns(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNonIdempotentRuns = std::move(aValue);
    return copy;
  }

  /// Number of connections that were refused because the limit was reached.
  std::int64_t RefusedConnections() const { return mFields.mRefusedConnections; }
  /// @returns a copy of this value with another RefusedConnections.
  [[nodiscard]] BackendCounters WithRefusedConnections(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRefusedConnections = std::move(aValue);
    return copy;
  }

  friend bool operator==(const BackendCounters&, const BackendCounters&) = default;
  friend auto operator<=>(const BackendCounters&, const BackendCounters&) = default;

private:
  explicit BackendCounters(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
