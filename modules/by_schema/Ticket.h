#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Lets a worker run a step for a while.
class Ticket
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// What a start must carry.
    std::string mText{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  Ticket() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<Ticket> Create(Fields aFields) { return Ticket(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] Ticket WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// What a start must carry.
  const std::string& Text() const { return mFields.mText; }
  /// @returns this value with another Text.
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
