#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Claim to the single run of a non-idempotent request.
class ClaimRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Team that sent the request.
    TeamId mTeam{};
    /// Caller's label for the request.
    std::string mLabel{};
    /// Request that holds the claim.
    RequestId mRequest{};
    /// Entry node that holds the request.
    NodeId mNode{};
    /// Identifies the process of that node.
    std::uint64_t mIncarnation{ 0 };
    /// Hash of the requested work.
    std::uint64_t mDigest{ 0 };
    /// When the platform accepted the claim.
    Time mAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClaimRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClaimRow> Create(Fields aFields) { return ClaimRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] ClaimRow WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Caller's label for the request.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] ClaimRow WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  /// Request that holds the claim.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] ClaimRow WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Entry node that holds the request.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] ClaimRow WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies the process of that node.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] ClaimRow WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Hash of the requested work.
  std::uint64_t Digest() const { return mFields.mDigest; }
  /// @returns a copy of this value with another Digest.
  [[nodiscard]] ClaimRow WithDigest(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDigest = std::move(aValue);
    return copy;
  }

  /// When the platform accepted the claim.
  Time At() const { return mFields.mAt; }
  /// @returns a copy of this value with another At.
  [[nodiscard]] ClaimRow WithAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
  friend auto operator<=>(const ClaimRow&, const ClaimRow&) = default;

private:
  explicit ClaimRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
