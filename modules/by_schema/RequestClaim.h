#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Claims the single run of a non-idempotent request; the first claim for a team and label counts.
class RequestClaim
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Team that sent the request.
    TeamId mTeam{};
    /// Caller's label for the request.
    std::string mLabel{};
    /// Identifier of the request.
    RequestId mRequest{};
    /// Hash of the requested work, to detect a label that is used for different work.
    std::uint64_t mDigest{ 0 };
    /// Whether an earlier claim by this same request is released because its work did not and will
    /// not run.
    bool mRelease{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RequestClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RequestClaim> Create(Fields aFields)
  {
    return RequestClaim(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] RequestClaim WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Caller's label for the request.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] RequestClaim WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  /// Identifier of the request.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] RequestClaim WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Hash of the requested work, to detect a label that is used for different work.
  std::uint64_t Digest() const { return mFields.mDigest; }
  /// @returns a copy of this value with another Digest.
  [[nodiscard]] RequestClaim WithDigest(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDigest = std::move(aValue);
    return copy;
  }

  /// Whether an earlier claim by this same request is released because its work did not and will
  /// not run.
  bool Release() const { return mFields.mRelease; }
  /// @returns a copy of this value with another Release.
  [[nodiscard]] RequestClaim WithRelease(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mRelease = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RequestClaim&, const RequestClaim&) = default;
  friend auto operator<=>(const RequestClaim&, const RequestClaim&) = default;

private:
  explicit RequestClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
