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
  /// The fields by name, for Create().
  struct Fields
  {
    /// 32 hexadecimal digits drawn by the entry node that admits it.
    RequestId mId{};
    /// The team that asks.
    TeamId mTeam{};
    /// The caller's own name for it; a non-idempotent request runs at most once for each team and
    /// label.
    std::string mLabel{};
    /// The kind of work, such as "fare-quote"; run times are learned for each team and kind.
    std::string mKind{};
    /// Whether it may be run again after a failure.
    bool mIdempotent{ false };
    /// How it is treated when capacity is short.
    by::Priority mPriority{};
    /// What its task takes.
    by::Resources mResources{};
    /// How long it may wait before it starts.
    Time mMaxWait{ Time::FromMilliseconds(10000) };
    /// The run time that the caller expects; zero where it says nothing.
    Time mDeclaredLength{};
    /// What the backend server is given.
    std::string mPayload{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  Request() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<Request> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// 32 hexadecimal digits drawn by the entry node that admits it.
  const RequestId& Id() const { return mFields.mId; }

  /// The team that asks.
  const TeamId& Team() const { return mFields.mTeam; }

  /// The caller's own name for it; a non-idempotent request runs at most once for each team and
  /// label.
  const std::string& Label() const { return mFields.mLabel; }

  /// The kind of work, such as "fare-quote"; run times are learned for each team and kind.
  const std::string& Kind() const { return mFields.mKind; }

  /// Whether it may be run again after a failure.
  bool Idempotent() const { return mFields.mIdempotent; }
  /// @returns this value with another Idempotent.
  [[nodiscard]] Request WithIdempotent(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mIdempotent = std::move(aValue);
    return copy;
  }

  /// How it is treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns this value with another Priority.
  [[nodiscard]] Request WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// What its task takes.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns this value with another Resources.
  [[nodiscard]] Request WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// How long it may wait before it starts.
  Time MaxWait() const { return mFields.mMaxWait; }

  /// The run time that the caller expects; zero where it says nothing.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }

  /// What the backend server is given.
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
