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

/// A caller's request as an entry node received it.
class JobCall
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the call, unique among all processes of the node.
    std::uint64_t mCall{ 0 };
    /// Operation that the caller requests.
    JobCallKind mKind{};
    /// Host name that the caller addressed.
    std::string mHost{};
    /// Path of the request.
    std::string mPath{};
    /// Job to submit; absent for other operations and where the body could not be parsed.
    std::optional<JobDefinition> mDefinition{};
    /// Why the body could not be parsed; empty if it could.
    std::string mError{};
    /// Size of the body.
    std::int64_t mBodySize{ 0 };
    /// How long the caller waits for the reply; zero if the caller does not say.
    Time mTimeout{};
    /// Key of the caller; empty without a bearer token.
    std::string mKey{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobCall() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobCall> Create(Fields aFields) { return JobCall(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the call, unique among all processes of the node.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] JobCall WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Operation that the caller requests.
  JobCallKind Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] JobCall WithKind(JobCallKind aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// Host name that the caller addressed.
  const std::string& Host() const { return mFields.mHost; }
  /// @returns a copy of this value with another Host.
  [[nodiscard]] JobCall WithHost(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mHost = std::move(aValue);
    return copy;
  }

  /// Path of the request.
  const std::string& Path() const { return mFields.mPath; }
  /// @returns a copy of this value with another Path.
  [[nodiscard]] JobCall WithPath(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPath = std::move(aValue);
    return copy;
  }

  /// Job to submit; absent for other operations and where the body could not be parsed.
  const std::optional<JobDefinition>& Definition() const { return mFields.mDefinition; }
  /// @returns a copy of this value with another Definition.
  [[nodiscard]] JobCall WithDefinition(std::optional<JobDefinition> aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  /// Why the body could not be parsed; empty if it could.
  const std::string& Error() const { return mFields.mError; }
  /// @returns a copy of this value with another Error.
  [[nodiscard]] JobCall WithError(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mError = std::move(aValue);
    return copy;
  }

  /// Size of the body.
  std::int64_t BodySize() const { return mFields.mBodySize; }
  /// @returns a copy of this value with another BodySize.
  [[nodiscard]] JobCall WithBodySize(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBodySize = std::move(aValue);
    return copy;
  }

  /// How long the caller waits for the reply; zero if the caller does not say.
  Time Timeout() const { return mFields.mTimeout; }
  /// @returns a copy of this value with another Timeout.
  [[nodiscard]] JobCall WithTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTimeout = std::move(aValue);
    return copy;
  }

  /// Key of the caller; empty without a bearer token.
  const std::string& Key() const { return mFields.mKey; }
  /// @returns a copy of this value with another Key.
  [[nodiscard]] JobCall WithKey(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKey = std::move(aValue);
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
