#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobCallKind.h"
#include "by_schema/JobDefinition.h"

namespace by {

/// A caller's request as it arrived at an entry node.
class JobCall
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Counts the calls of one node.
    std::uint64_t mCall{ 0 };
    /// What is asked.
    JobCallKind mKind{};
    /// The host that the caller named.
    std::string mHost{};
    /// The path.
    std::string mPath{};
    /// The job, for a submission; absent where the body could not be read.
    std::optional<JobDefinition> mDefinition{};
    /// What is wrong with the body; empty for nothing.
    std::string mError{};
    /// How large the body is.
    std::int64_t mBodySize{ 0 };
    /// How long the caller waits; zero where it does not tell.
    Time mTimeout{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobCall() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobCall> Create(Fields aFields) { return JobCall(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Counts the calls of one node.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns this value with another Call.
  [[nodiscard]] JobCall WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// What is asked.
  JobCallKind Kind() const { return mFields.mKind; }
  /// @returns this value with another Kind.
  [[nodiscard]] JobCall WithKind(JobCallKind aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// The host that the caller named.
  const std::string& Host() const { return mFields.mHost; }
  /// @returns this value with another Host.
  [[nodiscard]] JobCall WithHost(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mHost = std::move(aValue);
    return copy;
  }

  /// The path.
  const std::string& Path() const { return mFields.mPath; }
  /// @returns this value with another Path.
  [[nodiscard]] JobCall WithPath(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPath = std::move(aValue);
    return copy;
  }

  /// The job, for a submission; absent where the body could not be read.
  const std::optional<JobDefinition>& Definition() const { return mFields.mDefinition; }
  /// @returns this value with another Definition.
  [[nodiscard]] JobCall WithDefinition(std::optional<JobDefinition> aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  /// What is wrong with the body; empty for nothing.
  const std::string& Error() const { return mFields.mError; }
  /// @returns this value with another Error.
  [[nodiscard]] JobCall WithError(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mError = std::move(aValue);
    return copy;
  }

  /// How large the body is.
  std::int64_t BodySize() const { return mFields.mBodySize; }
  /// @returns this value with another BodySize.
  [[nodiscard]] JobCall WithBodySize(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBodySize = std::move(aValue);
    return copy;
  }

  /// How long the caller waits; zero where it does not tell.
  Time Timeout() const { return mFields.mTimeout; }
  /// @returns this value with another Timeout.
  [[nodiscard]] JobCall WithTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTimeout = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobCall&, const JobCall&) = default;
  friend auto operator<=>(const JobCall&, const JobCall&) = default;

private:
  explicit JobCall(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
