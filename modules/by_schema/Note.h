#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/NodePart.h"

namespace by {

/// A line for the node's own log, not for the platform's log.
class Note
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Component that writes the line.
    NodePart mPart{};
    /// Text in one short sentence.
    std::string mText{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Note() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Note> Create(Fields aFields) { return Note(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Component that writes the line.
  NodePart Part() const { return mFields.mPart; }
  /// @returns a copy of this value with another Part.
  [[nodiscard]] Note WithPart(NodePart aValue) const
  {
    auto copy = *this;
    copy.mFields.mPart = std::move(aValue);
    return copy;
  }

  /// Text in one short sentence.
  const std::string& Text() const { return mFields.mText; }
  /// @returns a copy of this value with another Text.
  [[nodiscard]] Note WithText(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mText = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Note&, const Note&) = default;
  friend auto operator<=>(const Note&, const Note&) = default;

private:
  explicit Note(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
