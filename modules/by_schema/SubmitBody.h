#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Priority.h"
#include "by_schema/Resources.h"

namespace by {

/// Body of a caller's submission; the entry node adds the team and the identifier.
class SubmitBody
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Caller's own name for the request.
    std::string mLabel{};
    /// Kind of work.
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
  SubmitBody() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SubmitBody> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Caller's own name for the request.
  const std::string& Label() const { return mFields.mLabel; }

  /// Kind of work.
  const std::string& Kind() const { return mFields.mKind; }

  /// Whether the request may run again after a failure.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns a copy of this value with another Idempotent.
  [[nodiscard]] SubmitBody WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// How the request is treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns a copy of this value with another Priority.
  [[nodiscard]] SubmitBody WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Resources that its task requests.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] SubmitBody WithResources(by::Resources aValue) const
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
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] SubmitBody WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SubmitBody&, const SubmitBody&) = default;
  friend auto operator<=>(const SubmitBody&, const SubmitBody&) = default;

private:
  explicit SubmitBody(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
