#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/NodeSettings.h"

namespace by {

/// One entry node of a session.
class SessionNode
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Settings of the node.
    NodeSettings mSettings{};
    /// Incarnation of its first process.
    std::uint64_t mIncarnation{ 1 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SessionNode() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SessionNode> Create(Fields aFields)
  {
    return SessionNode(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Settings of the node.
  const NodeSettings& Settings() const { return mFields.mSettings; }
  /// @returns a copy of this value with another Settings.
  [[nodiscard]] SessionNode WithSettings(NodeSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mSettings = std::move(aValue);
    return copy;
  }

  /// Incarnation of its first process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] SessionNode WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SessionNode&, const SessionNode&) = default;
  friend auto operator<=>(const SessionNode&, const SessionNode&) = default;

private:
  explicit SessionNode(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
