#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/NodeStatus.h"

namespace by {

/// The entry nodes.
class NodeList
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Status of each node.
    std::vector<NodeStatus> mNodes{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeList() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeList> Create(Fields aFields) { return NodeList(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Status of each node.
  const std::vector<NodeStatus>& Nodes() const { return mFields.mNodes; }
  /// @returns a copy of this value with another Nodes.
  [[nodiscard]] NodeList WithNodes(std::vector<NodeStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNodes = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodeList&, const NodeList&) = default;
  friend auto operator<=>(const NodeList&, const NodeList&) = default;

private:
  explicit NodeList(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
