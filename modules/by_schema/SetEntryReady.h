#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Sets whether the node should get new connections.
class SetEntryReady
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether it should.
    bool mReady{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  SetEntryReady() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<SetEntryReady> Create(Fields aFields)
  {
    return SetEntryReady(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether it should.
  bool Ready() const { return mFields.mReady; }
  /// @returns this value with another Ready.
  [[nodiscard]] SetEntryReady WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SetEntryReady&, const SetEntryReady&) = default;
  friend auto operator<=>(const SetEntryReady&, const SetEntryReady&) = default;

private:
  explicit SetEntryReady(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
