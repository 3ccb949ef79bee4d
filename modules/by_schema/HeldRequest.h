#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// A request that a node holds, whether its caller is connected to that node or another node
/// forwarded it there.
class HeldRequest
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the request.
    RequestId mRequest{};
    /// Team that sent the request.
    TeamId mTeam{};
    /// One of claiming, querying, queued, forwarded and running.
    std::string mPhase{};
    /// Number of the current attempt.
    std::uint32_t mAttempt{ 0 };
    /// Time since it arrived.
    Time mAge{};
    /// Backend server or node that it was sent to, or node that was queried; empty for none.
    std::string mPlace{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HeldRequest() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HeldRequest> Create(Fields aFields)
  {
    return HeldRequest(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the request.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] HeldRequest WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] HeldRequest WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// One of claiming, querying, queued, forwarded and running.
  const std::string& Phase() const { return mFields.mPhase; }
  /// @returns a copy of this value with another Phase.
  [[nodiscard]] HeldRequest WithPhase(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPhase = std::move(aValue);
    return copy;
  }

  /// Number of the current attempt.
  std::uint32_t Attempt() const { return mFields.mAttempt; }
  /// @returns a copy of this value with another Attempt.
  [[nodiscard]] HeldRequest WithAttempt(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAttempt = std::move(aValue);
    return copy;
  }

  /// Time since it arrived.
  Time Age() const { return mFields.mAge; }
  /// @returns a copy of this value with another Age.
  [[nodiscard]] HeldRequest WithAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAge = std::move(aValue);
    return copy;
  }

  /// Backend server or node that it was sent to, or node that was queried; empty for none.
  const std::string& Place() const { return mFields.mPlace; }
  /// @returns a copy of this value with another Place.
  [[nodiscard]] HeldRequest WithPlace(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlace = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HeldRequest&, const HeldRequest&) = default;
  friend auto operator<=>(const HeldRequest&, const HeldRequest&) = default;

private:
  explicit HeldRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
