#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// HTTP method of a call.
enum class HttpMethod : std::uint8_t
{
  Get = 0,
  Post = 1,
  Put = 2,
  Delete = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(HttpMethod aValue)
{
  switch (aValue) {
    case HttpMethod::Get:
      return "get";
    case HttpMethod::Post:
      return "post";
    case HttpMethod::Put:
      return "put";
    case HttpMethod::Delete:
      return "delete";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<HttpMethod>
ParseHttpMethod(std::string_view aText)
{
  if (aText == "get") {
    return HttpMethod::Get;
  }
  if (aText == "post") {
    return HttpMethod::Post;
  }
  if (aText == "put") {
    return HttpMethod::Put;
  }
  if (aText == "delete") {
    return HttpMethod::Delete;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of get, post, put, delete"));
}

} // namespace by
