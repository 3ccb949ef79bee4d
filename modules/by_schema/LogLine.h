#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Structured line for the log.
class LogLine
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the event, from a fixed set.
    std::string mEvent{};
    /// Job, task, worker or epoch that the event concerns.
    std::string mSubject{};
    /// Further values as "key=value" pairs separated by spaces.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LogLine() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LogLine> Create(Fields aFields) { return LogLine(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the event, from a fixed set.
  const std::string& Event() const { return mFields.mEvent; }
  /// @returns a copy of this value with another Event.
  [[nodiscard]] LogLine WithEvent(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mEvent = std::move(aValue);
    return copy;
  }

  /// Job, task, worker or epoch that the event concerns.
  const std::string& Subject() const { return mFields.mSubject; }
  /// @returns a copy of this value with another Subject.
  [[nodiscard]] LogLine WithSubject(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSubject = std::move(aValue);
    return copy;
  }

  /// Further values as "key=value" pairs separated by spaces.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] LogLine WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LogLine&, const LogLine&) = default;
  friend auto operator<=>(const LogLine&, const LogLine&) = default;

private:
  explicit LogLine(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
