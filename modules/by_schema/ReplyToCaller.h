#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobReply.h"

namespace by {

/// Answers a caller.
class ReplyToCaller
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The reply.
    JobReply mReply{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ReplyToCaller() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ReplyToCaller> Create(Fields aFields)
  {
    return ReplyToCaller(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The reply.
  const JobReply& Reply() const { return mFields.mReply; }
  /// @returns this value with another Reply.
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
