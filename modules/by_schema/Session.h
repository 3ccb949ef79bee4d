#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/LogRecord.h"
#include "by_schema/SessionEvent.h"
#include "by_schema/SessionNode.h"
#include "by_schema/SessionServer.h"
#include "by_schema/SessionTask.h"

namespace by {

/// A complete session.
class Session
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The entry nodes.
    std::vector<SessionNode> mNodes{};
    /// The backend servers.
    std::vector<SessionServer> mServers{};
    /// Behaviour of tasks; tasks without an entry run for 100 ms and succeed.
    std::vector<SessionTask> mTasks{};
    /// Initial content of the log.
    std::vector<LogRecord> mLog{};
    /// Events of the session.
    std::vector<SessionEvent> mEvents{};
    /// When the session ends.
    Time mEnd{ Time::FromMilliseconds(5000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Session() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Session> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The entry nodes.
  const std::vector<SessionNode>& Nodes() const { return mFields.mNodes; }
  /// @returns a copy of this value with another Nodes.
  [[nodiscard]] Session WithNodes(std::vector<SessionNode> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNodes = std::move(aValue);
    return copy;
  }

  /// The backend servers.
  const std::vector<SessionServer>& Servers() const { return mFields.mServers; }
  /// @returns a copy of this value with another Servers.
  [[nodiscard]] Session WithServers(std::vector<SessionServer> aValue) const
  {
    auto copy = *this;
    copy.mFields.mServers = std::move(aValue);
    return copy;
  }

  /// Behaviour of tasks; tasks without an entry run for 100 ms and succeed.
  const std::vector<SessionTask>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] Session WithTasks(std::vector<SessionTask> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Initial content of the log.
  const std::vector<LogRecord>& Log() const { return mFields.mLog; }
  /// @returns a copy of this value with another Log.
  [[nodiscard]] Session WithLog(std::vector<LogRecord> aValue) const
  {
    auto copy = *this;
    copy.mFields.mLog = std::move(aValue);
    return copy;
  }

  /// Events of the session.
  const std::vector<SessionEvent>& Events() const { return mFields.mEvents; }
  /// @returns a copy of this value with another Events.
  [[nodiscard]] Session WithEvents(std::vector<SessionEvent> aValue) const
  {
    auto copy = *this;
    copy.mFields.mEvents = std::move(aValue);
    return copy;
  }

  /// When the session ends.
  Time End() const { return mFields.mEnd; }

  friend bool operator==(const Session&, const Session&) = default;
  friend auto operator<=>(const Session&, const Session&) = default;

private:
  explicit Session(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
