#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Time has passed; drives all timers of the node.
class Tick
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Sequence number of the tick within the process.
    std::uint64_t mCount{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Tick() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Tick> Create(Fields aFields) { return Tick(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Sequence number of the tick within the process.
  std::uint64_t Count() const { return mFields.mCount; }
  /// @returns a copy of this value with another Count.
  [[nodiscard]] Tick WithCount(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCount = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Tick&, const Tick&) = default;
  friend auto operator<=>(const Tick&, const Tick&) = default;

private:
  explicit Tick(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
