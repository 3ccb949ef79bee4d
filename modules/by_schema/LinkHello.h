#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// First message on a link between two entry nodes.
class LinkHello
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node that opened the link.
    std::string mNode{};
    /// Identifies one process of that node; drawn at random at each process start.
    std::uint64_t mIncarnation{ 0 };
    /// Epoch under which the sender takes the receiver for the owner of the cell.
    std::uint64_t mEpoch{ 0 };
    /// Availability zone of the node.
    ZoneId mZone{};
    /// Processor time that the node may use.
    std::uint32_t mProcessorShare{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LinkHello() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LinkHello> Create(Fields aFields) { return LinkHello(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node that opened the link.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] LinkHello WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies one process of that node; drawn at random at each process start.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] LinkHello WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Epoch under which the sender takes the receiver for the owner of the cell.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LinkHello WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Availability zone of the node.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] LinkHello WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Processor time that the node may use.
  std::uint32_t ProcessorShare() const { return mFields.mProcessorShare; }
  /// @returns a copy of this value with another ProcessorShare.
  [[nodiscard]] LinkHello WithProcessorShare(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessorShare = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkHello&, const LinkHello&) = default;
  friend auto operator<=>(const LinkHello&, const LinkHello&) = default;

private:
  explicit LinkHello(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
