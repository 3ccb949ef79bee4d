#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Priority.h"
#include "by_schema/Resources.h"

namespace by {

/// A caller's request as an entry node admits it.
class Request
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// 32 hexadecimal digits, drawn at random by the entry node that admits the request.
    RequestId mId{};
    /// Team that sends the request.
    TeamId mTeam{};
    /// Caller's own name for the request; a non-idempotent request runs at most once for each team
    /// and label.
    std::string mLabel{};
    /// Kind of work, such as "fare-quote"; run times are estimated for each team and kind.
    std::string mKind{};
    /// Whether the request may run again after a failure.
    bool mIdempotent{ false };
    /// How the request is treated when capacity is short.
    by::Priority mPriority{};
    /// Resources that its task requests.
    by::Resources mResources{};
    /// Maximum time that the request may wait before it starts.
    Time mMaxWait{ Time::FromMilliseconds(10000) };
    /// Run time that the caller expects; zero if the caller does not say.
    Time mDeclaredLength{};
    /// Opaque data for the backend server.
    std::string mPayload{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Request() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Request> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// 32 hexadecimal digits, drawn at random by the entry node that admits the request.
  const RequestId& Id() const { return mFields.mId; }

  /// Team that sends the request.
  const TeamId& Team() const { return mFields.mTeam; }

  /// Caller's own name for the request; a non-idempotent request runs at most once for each team
  /// and label.
  const std::string& Label() const { return mFields.mLabel; }

  /// Kind of work, such as "fare-quote"; run times are estimated for each team and kind.
  const std::string& Kind() const { return mFields.mKind; }

  /// Whether the request may run again after a failure.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns a copy of this value with another Idempotent.
  [[nodiscard]] Request WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// How the request is treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns a copy of this value with another Priority.
  [[nodiscard]] Request WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Resources that its task requests.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] Request WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// Maximum time that the request may wait before it starts.
  Time MaxWait() const { return mFields.mMaxWait; }

  /// Run time that the caller expects; zero if the caller does not say.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }

  /// Opaque data for the backend server.
  const std::string& Payload() const { return mFields.mPayload; }

  friend bool operator==(const Request&, const Request&) = default;
  friend auto operator<=>(const Request&, const Request&) = default;

private:
  explicit Request(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
