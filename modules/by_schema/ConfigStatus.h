#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigDocument.h"
#include "by_schema/NodeStatus.h"

namespace by {

/// The configuration in force on this node, and the versions in force on other nodes.
class ConfigStatus
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Version in force on this node.
    std::uint64_t mVersion{ 0 };
    /// Operator who published it.
    std::string mOperatorName{};
    /// Content of the configuration; present if it was requested.
    std::optional<ConfigDocument> mDocument{};
    /// Status of all entry nodes, with their versions.
    std::vector<NodeStatus> mNodes{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigStatus() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigStatus> Create(Fields aFields)
  {
    return ConfigStatus(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Version in force on this node.
  std::uint64_t Version() const { return mFields.mVersion; }
  /// @returns a copy of this value with another Version.
  [[nodiscard]] ConfigStatus WithVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mVersion = std::move(aValue);
    return copy;
  }

  /// Operator who published it.
  const std::string& OperatorName() const { return mFields.mOperatorName; }
  /// @returns a copy of this value with another OperatorName.
  [[nodiscard]] ConfigStatus WithOperatorName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOperatorName = std::move(aValue);
    return copy;
  }

  /// Content of the configuration; present if it was requested.
  const std::optional<ConfigDocument>& Document() const { return mFields.mDocument; }
  /// @returns a copy of this value with another Document.
  [[nodiscard]] ConfigStatus WithDocument(std::optional<ConfigDocument> aValue) const
  {
    auto copy = *this;
    copy.mFields.mDocument = std::move(aValue);
    return copy;
  }

  /// Status of all entry nodes, with their versions.
  const std::vector<NodeStatus>& Nodes() const { return mFields.mNodes; }
  /// @returns a copy of this value with another Nodes.
  [[nodiscard]] ConfigStatus WithNodes(std::vector<NodeStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNodes = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfigStatus&, const ConfigStatus&) = default;
  friend auto operator<=>(const ConfigStatus&, const ConfigStatus&) = default;

private:
  explicit ConfigStatus(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
