#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// One process of an entry node.
class NodeProcess
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{};
    /// Identifies the process; drawn at random at each process start.
    std::uint64_t mIncarnation{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeProcess() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeProcess> Create(Fields aFields)
  {
    return NodeProcess(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] NodeProcess WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies the process; drawn at random at each process start.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] NodeProcess WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodeProcess&, const NodeProcess&) = default;
  friend auto operator<=>(const NodeProcess&, const NodeProcess&) = default;

private:
  explicit NodeProcess(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
