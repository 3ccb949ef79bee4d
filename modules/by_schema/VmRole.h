#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Purpose of a VM.
enum class VmRole : std::uint8_t
{
  BackendServer = 0,
  EntryNode = 1,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(VmRole aValue)
{
  switch (aValue) {
    case VmRole::BackendServer:
      return "backend_server";
    case VmRole::EntryNode:
      return "entry_node";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<VmRole>
ParseVmRole(std::string_view aText)
{
  if (aText == "backend_server") {
    return VmRole::BackendServer;
  }
  if (aText == "entry_node") {
    return VmRole::EntryNode;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of backend_server, entry_node"));
}

} // namespace by
