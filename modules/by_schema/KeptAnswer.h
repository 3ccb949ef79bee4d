#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Answer.h"

namespace by {

/// An answer that is kept for repeated requests.
class KeptAnswer
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The answer.
    by::Answer mAnswer{};
    /// Team that sent the request.
    TeamId mTeam{};
    /// Label of the request.
    std::string mLabel{};
    /// When the answer was given.
    Time mAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  KeptAnswer() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<KeptAnswer> Create(Fields aFields)
  {
    return KeptAnswer(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The answer.
  const by::Answer& Answer() const { return mFields.mAnswer; }
  /// @returns a copy of this value with another Answer.
  [[nodiscard]] KeptAnswer WithAnswer(by::Answer aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswer = std::move(aValue);
    return copy;
  }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] KeptAnswer WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Label of the request.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] KeptAnswer WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  /// When the answer was given.
  Time At() const { return mFields.mAt; }
  /// @returns a copy of this value with another At.
  [[nodiscard]] KeptAnswer WithAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const KeptAnswer&, const KeptAnswer&) = default;
  friend auto operator<=>(const KeptAnswer&, const KeptAnswer&) = default;

private:
  explicit KeptAnswer(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
