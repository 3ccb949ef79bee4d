#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobReply.h"

namespace by {

/// Sends the reply to a caller's request.
class ReplyToCaller
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Reply to send.
    JobReply mReply{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReplyToCaller() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReplyToCaller> Create(Fields aFields)
  {
    return ReplyToCaller(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Reply to send.
  const JobReply& Reply() const { return mFields.mReply; }
  /// @returns a copy of this value with another Reply.
  [[nodiscard]] ReplyToCaller WithReply(JobReply aValue) const
  {
    auto copy = *this;
    copy.mFields.mReply = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReplyToCaller&, const ReplyToCaller&) = default;
  friend auto operator<=>(const ReplyToCaller&, const ReplyToCaller&) = default;

private:
  explicit ReplyToCaller(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
