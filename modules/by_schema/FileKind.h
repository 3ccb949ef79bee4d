#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Kind of content of a file to be checked.
enum class FileKind : std::uint8_t
{
  Guess = 0,
  Node = 1,
  Config = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(FileKind aValue)
{
  switch (aValue) {
    case FileKind::Guess:
      return "guess";
    case FileKind::Node:
      return "node";
    case FileKind::Config:
      return "config";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<FileKind>
ParseFileKind(std::string_view aText)
{
  if (aText == "guess") {
    return FileKind::Guess;
  }
  if (aText == "node") {
    return FileKind::Node;
  }
  if (aText == "config") {
    return FileKind::Config;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of guess, node, config"));
}

} // namespace by
