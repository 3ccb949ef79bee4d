#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CallOutcome.h"

namespace by {

/// Result of one call.
class HttpResult
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// How far the call proceeded.
    CallOutcome mOutcome{};
    /// HTTP status code; zero unless the call completed.
    std::int64_t mStatusCode{ 0 };
    /// Body of the response; that of the other peer's identification if it was another one, and
    /// empty if no response arrived.
    std::string mBody{};
    /// Cause in one sentence if the call did not complete.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HttpResult() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HttpResult> Create(Fields aFields)
  {
    return HttpResult(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// How far the call proceeded.
  CallOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] HttpResult WithOutcome(CallOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// HTTP status code; zero unless the call completed.
  std::int64_t StatusCode() const { return mFields.mStatusCode; }
  /// @returns a copy of this value with another StatusCode.
  [[nodiscard]] HttpResult WithStatusCode(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatusCode = std::move(aValue);
    return copy;
  }

  /// Body of the response; that of the other peer's identification if it was another one, and empty
  /// if no response arrived.
  const std::string& Body() const { return mFields.mBody; }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] HttpResult WithBody(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  /// Cause in one sentence if the call did not complete.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] HttpResult WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HttpResult&, const HttpResult&) = default;
  friend auto operator<=>(const HttpResult&, const HttpResult&) = default;

private:
  explicit HttpResult(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
