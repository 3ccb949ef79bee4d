#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Team that submitted a job. A record of its own, since nodes of an earlier version read those of
/// jobs; written before the job's record, and kept until the job's outcome is forgotten.
class JobTeam
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Identifier of the team.
    TeamId mTeam{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobTeam() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobTeam> Create(Fields aFields) { return JobTeam(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] JobTeam WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Identifier of the team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] JobTeam WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobTeam&, const JobTeam&) = default;
  friend auto operator<=>(const JobTeam&, const JobTeam&) = default;

private:
  explicit JobTeam(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
