#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Queries another node for its folded state while the platform's log cannot be read.
class StateQuery
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that sends the query.
    NodeId mFrom{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StateQuery() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StateQuery> Create(Fields aFields)
  {
    return StateQuery(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that sends the query.
  const NodeId& From() const { return mFields.mFrom; }
  /// @returns a copy of this value with another From.
  [[nodiscard]] StateQuery WithFrom(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrom = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StateQuery&, const StateQuery&) = default;
  friend auto operator<=>(const StateQuery&, const StateQuery&) = default;

private:
  explicit StateQuery(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
