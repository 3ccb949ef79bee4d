#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Request.h"

namespace by {

/// Hands a request to the node that has room for it; at most one hop.
class ForwardedRequest
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The node that holds the caller.
    NodeId mFrom{};
    /// Its process.
    std::uint64_t mIncarnation{ 0 };
    /// The attempt, from 1.
    std::uint32_t mAttempt{ 0 };
    /// How much of the patience is left.
    Time mMaxWaitLeft{};
    /// The request.
    by::Request mRequest{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ForwardedRequest() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ForwardedRequest> Create(Fields aFields)
  {
    return ForwardedRequest(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node that holds the caller.
  const NodeId& From() const { return mFields.mFrom; }
  /// @returns this value with another From.
  [[nodiscard]] ForwardedRequest WithFrom(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrom = std::move(aValue);
    return copy;
  }

  /// Its process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] ForwardedRequest WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// The attempt, from 1.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns this value with another Attempt.
  [[nodiscard]] ForwardedRequest WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  /// How much of the patience is left.
  Time MaxWaitLeft() const { return mFields.mMaxWaitLeft; }
  /// @returns this value with another MaxWaitLeft.
  [[nodiscard]] ForwardedRequest WithMaxWaitLeft(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxWaitLeft = std::move(aValue);
    return copy;
  }

  /// The request.
  const by::Request& Request() const { return mFields.mRequest; }
  /// @returns this value with another Request.
  [[nodiscard]] ForwardedRequest WithRequest(by::Request aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ForwardedRequest&, const ForwardedRequest&) = default;
  friend auto operator<=>(const ForwardedRequest&, const ForwardedRequest&) = default;

private:
  explicit ForwardedRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
