#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Queries the node that claimed a label for the answer to the claimed request.
class AnswerQuery
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Node that sends the query.
    NodeId mFrom{};
    /// Request for which the query is sent.
    RequestId mRequest{};
    /// Team that sent the request.
    TeamId mTeam{};
    /// Label of the request.
    std::string mLabel{};
    /// Request that claimed the label.
    RequestId mClaimedBy{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AnswerQuery() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AnswerQuery> Create(Fields aFields)
  {
    return AnswerQuery(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Node that sends the query.
  const NodeId& From() const { return mFields.mFrom; }
  /// @returns a copy of this value with another From.
  [[nodiscard]] AnswerQuery WithFrom(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrom = std::move(aValue);
    return copy;
  }

  /// Request for which the query is sent.
  const RequestId& Request() const { return mFields.mRequest; }
  /// @returns a copy of this value with another Request.
  [[nodiscard]] AnswerQuery WithRequest(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequest = std::move(aValue);
    return copy;
  }

  /// Team that sent the request.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] AnswerQuery WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Label of the request.
  const std::string& Label() const { return mFields.mLabel; }
  /// @returns a copy of this value with another Label.
  [[nodiscard]] AnswerQuery WithLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabel = std::move(aValue);
    return copy;
  }

  /// Request that claimed the label.
  const RequestId& ClaimedBy() const { return mFields.mClaimedBy; }
  /// @returns a copy of this value with another ClaimedBy.
  [[nodiscard]] AnswerQuery WithClaimedBy(RequestId aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaimedBy = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
  friend auto operator<=>(const AnswerQuery&, const AnswerQuery&) = default;

private:
  explicit AnswerQuery(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
