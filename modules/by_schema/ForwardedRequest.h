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

/// Forwards a request to a node that has enough free capacity; a request is forwarded over at most
/// one hop.
class ForwardedRequest
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that the caller is connected to.
    NodeId mFrom{};
    /// Identifies the process of that node.
    std::uint64_t mIncarnation{ 0 };
    /// Number of the attempt, from 1.
    std::uint32_t mAttempt{ 0 };
    /// Remaining part of the request's maximum wait.
    Time mMaxWaitLeft{};
    /// The request.
    by::Request mRequest{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ForwardedRequest() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ForwardedRequest> Create(Fields aFields)
  {
    return ForwardedRequest(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that the caller is connected to.
  const NodeId& From() const { return mFields.mFrom; }
  /// @returns a copy of this value with another From.
  [[nodiscard]] ForwardedRequest WithFrom(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrom = std::move(aValue);
    return copy;
  }

  /// Identifies the process of that node.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] ForwardedRequest WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Number of the attempt, from 1.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns a copy of this value with another Attempt.
  [[nodiscard]] ForwardedRequest WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  /// Remaining part of the request's maximum wait.
  Time MaxWaitLeft() const { return mFields.mMaxWaitLeft; }
  /// @returns a copy of this value with another MaxWaitLeft.
  [[nodiscard]] ForwardedRequest WithMaxWaitLeft(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxWaitLeft = std::move(aValue);
    return copy;
  }

  /// The request.
  const by::Request& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
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
