#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/IntentStatus.h"

namespace by {

/// A list of intents.
class IntentList
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The intents, without their tasks.
    std::vector<IntentStatus> mIntents{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentList() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentList> Create(Fields aFields)
  {
    return IntentList(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The intents, without their tasks.
  const std::vector<IntentStatus>& Intents() const { return mFields.mIntents; }
  /// @returns a copy of this value with another Intents.
  [[nodiscard]] IntentList WithIntents(std::vector<IntentStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntents = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentList&, const IntentList&) = default;
  friend auto operator<=>(const IntentList&, const IntentList&) = default;

private:
  explicit IntentList(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
