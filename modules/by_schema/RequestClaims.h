#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/RequestClaim.h"

namespace by {

/// Claims of one node, batched into one record.
class RequestClaims
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that holds the requests.
    NodeId mNode{};
    /// Identifies the process of that node.
    std::uint64_t mIncarnation{ 0 };
    /// Claims in order; each is validated on its own.
    std::vector<RequestClaim> mClaims{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestClaims() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestClaims> Create(Fields aFields)
  {
    return RequestClaims(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that holds the requests.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] RequestClaims WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies the process of that node.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] RequestClaims WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Claims in order; each is validated on its own.
  const std::vector<RequestClaim>& Claims() const { return mFields.mClaims; }
  /// @returns a copy of this value with another Claims.
  [[nodiscard]] RequestClaims WithClaims(std::vector<RequestClaim> aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaims = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RequestClaims&, const RequestClaims&) = default;
  friend auto operator<=>(const RequestClaims&, const RequestClaims&) = default;

private:
  explicit RequestClaims(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
