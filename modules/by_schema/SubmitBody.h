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

/// What a caller sends; the entry node adds the team and the id.
class SubmitBody
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The caller's own name for the request.
    std::string mLabel{};
    /// The kind of work.
    std::string mKind{};
    /// Whether it may be run again after a failure.
    bool mIdempotent{ false };
    /// How it is treated when capacity is short.
    by::Priority mPriority{};
    /// What its task takes.
    by::Resources mResources{};
    /// How long it may wait before it starts.
    Time mMaxWait{ Time::FromMilliseconds(10000) };
    /// The run time that the caller expects.
    Time mDeclaredLength{};
    /// What the backend server is given.
    std::string mPayload{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  SubmitBody() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<SubmitBody> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The caller's own name for the request.
  const std::string& Label() const { return mFields.mLabel; }

  /// The kind of work.
  const std::string& Kind() const { return mFields.mKind; }

  /// Whether it may be run again after a failure.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns this value with another Idempotent.
  [[nodiscard]] SubmitBody WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// How it is treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns this value with another Priority.
  [[nodiscard]] SubmitBody WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// What its task takes.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns this value with another Resources.
  [[nodiscard]] SubmitBody WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// How long it may wait before it starts.
  Time MaxWait() const { return mFields.mMaxWait; }

  /// The run time that the caller expects.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }

  /// What the backend server is given.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns this value with another Payload.
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
