#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/JobCallKind.h"
#include "by_schema/JobDefinition.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// A caller's request, forwarded to the owner of the cell.
class CellRequest
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the call at the node that forwards it, unique among all processes of that node.
    std::uint64_t mCall{ 0 };
    /// Operation that the caller requests.
    JobCallKind mKind{};
    /// Policy of the addressed queue.
    QueuePolicy mQueue{};
    /// Name of the job; empty when jobs are counted.
    std::string mJob{};
    /// Job to submit; absent for other operations.
    std::optional<JobDefinition> mDefinition{};
    /// How long the forwarding node waits for the reply; zero for no limit. A request that waited
    /// longer has no caller any more.
    Time mTimeout{};
    /// Team of the caller; empty if the queue needs no key.
    TeamId mTeam{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellRequest() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellRequest> Create(Fields aFields)
  {
    return CellRequest(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the call at the node that forwards it, unique among all processes of that node.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] CellRequest WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Operation that the caller requests.
  JobCallKind Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] CellRequest WithKind(JobCallKind aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// Policy of the addressed queue.
  const QueuePolicy& Queue() const { return mFields.mQueue; }
  /// @returns a copy of this value with another Queue.
  [[nodiscard]] CellRequest WithQueue(QueuePolicy aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueue = std::move(aValue);
    return copy;
  }

  /// Name of the job; empty when jobs are counted.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] CellRequest WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Job to submit; absent for other operations.
  const std::optional<JobDefinition>& Definition() const { return mFields.mDefinition; }
  /// @returns a copy of this value with another Definition.
  [[nodiscard]] CellRequest WithDefinition(std::optional<JobDefinition> aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  /// How long the forwarding node waits for the reply; zero for no limit. A request that waited
  /// longer has no caller any more.
  Time Timeout() const { return mFields.mTimeout; }
  /// @returns a copy of this value with another Timeout.
  [[nodiscard]] CellRequest WithTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTimeout = std::move(aValue);
    return copy;
  }

  /// Team of the caller; empty if the queue needs no key.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] CellRequest WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellRequest&, const CellRequest&) = default;
  friend auto operator<=>(const CellRequest&, const CellRequest&) = default;

private:
  explicit CellRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
