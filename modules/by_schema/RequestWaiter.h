#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// A repeated request that waits for the answer to the first request with its label.
class RequestWaiter
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the repeated request.
    RequestId mRequest{};
    /// Node that holds its caller's connection; empty for this node.
    NodeId mNode{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestWaiter() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestWaiter> Create(Fields aFields)
  {
    return RequestWaiter(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the repeated request.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] RequestWaiter WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Node that holds its caller's connection; empty for this node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] RequestWaiter WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RequestWaiter&, const RequestWaiter&) = default;
  friend auto operator<=>(const RequestWaiter&, const RequestWaiter&) = default;

private:
  explicit RequestWaiter(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
