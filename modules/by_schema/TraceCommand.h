#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Traces a job through the logs of any number of nodes, without calling one.
class TraceCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Log files; "-" for standard input.
    std::vector<std::string> mFiles{};
    /// Whether to print one JSON object.
    bool mJson{ false };
    /// Whether to leave out the records.
    bool mBrief{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TraceCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TraceCommand> Create(Fields aFields)
  {
    return TraceCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] TraceCommand WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Log files; "-" for standard input.
  const std::vector<std::string>& Files() const { return mFields.mFiles; }
  /// @returns a copy of this value with another Files.
  [[nodiscard]] TraceCommand WithFiles(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mFiles = std::move(aValue);
    return copy;
  }

  /// Whether to print one JSON object.
  bool Json() const { return mFields.mJson; }
  /// @returns a copy of this value with another Json.
  [[nodiscard]] TraceCommand WithJson(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mJson = std::move(aValue);
    return copy;
  }

  /// Whether to leave out the records.
  bool Brief() const { return mFields.mBrief; }
  /// @returns a copy of this value with another Brief.
  [[nodiscard]] TraceCommand WithBrief(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mBrief = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TraceCommand&, const TraceCommand&) = default;
  friend auto operator<=>(const TraceCommand&, const TraceCommand&) = default;

private:
  explicit TraceCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
