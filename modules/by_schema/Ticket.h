#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Permission for one worker to run a step; valid for a limited time.
class Ticket
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Opaque text that the start order must carry.
    std::string mText{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Ticket() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Ticket> Create(Fields aFields) { return Ticket(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] Ticket WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Opaque text that the start order must carry.
  const std::string& Text() const { return mFields.mText; }
  /// @returns a copy of this value with another Text.
  [[nodiscard]] Ticket WithText(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mText = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Ticket&, const Ticket&) = default;
  friend auto operator<=>(const Ticket&, const Ticket&) = default;

private:
  explicit Ticket(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
