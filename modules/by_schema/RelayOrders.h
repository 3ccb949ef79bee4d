#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/WorkerOrder.h"

namespace by {

/// Orders to workers that the receiver sends on behalf of the owner.
class RelayOrders
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Orders, each with its own number.
    std::vector<WorkerOrder> mOrders{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RelayOrders() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RelayOrders> Create(Fields aFields)
  {
    return RelayOrders(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Orders, each with its own number.
  const std::vector<WorkerOrder>& Orders() const { return mFields.mOrders; }
  /// @returns a copy of this value with another Orders.
  [[nodiscard]] RelayOrders WithOrders(std::vector<WorkerOrder> aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrders = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RelayOrders&, const RelayOrders&) = default;
  friend auto operator<=>(const RelayOrders&, const RelayOrders&) = default;

private:
  explicit RelayOrders(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
