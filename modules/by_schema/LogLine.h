#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// A structured line for the log.
class LogLine
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// What happened, in a fixed word or two.
    std::string mEvent{};
    /// What it is about: a job, a task, a worker, an epoch.
    std::string mSubject{};
    /// What decided and what came of it, as "key=value" pairs.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LogLine() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LogLine> Create(Fields aFields) { return LogLine(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// What happened, in a fixed word or two.
  const std::string& Event() const { return mFields.mEvent; }
  /// @returns this value with another Event.
  [[nodiscard]] LogLine WithEvent(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mEvent = std::move(aValue);
    return copy;
  }

  /// What it is about: a job, a task, a worker, an epoch.
  const std::string& Subject() const { return mFields.mSubject; }
  /// @returns this value with another Subject.
  [[nodiscard]] LogLine WithSubject(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSubject = std::move(aValue);
    return copy;
  }

  /// What decided and what came of it, as "key=value" pairs.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns this value with another Detail.
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
