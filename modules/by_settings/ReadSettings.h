#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigDocument.h"
#include "by_schema/NodeSettings.h"
#include "by_settings/DocumentKind.h"

namespace by {

/// Reads the settings of a node.
/// @param aText JSON, comments allowed.
/// @returns the settings, or InvalidArgument with every fault and its place, one a line.
absl::StatusOr<NodeSettings>
ReadNodeSettings(std::string_view aText);

/// Reads a configuration.
/// @param aText JSON, comments allowed.
/// @returns the configuration, or InvalidArgument with every fault and its place, one a line.
absl::StatusOr<ConfigDocument>
ReadConfigDocument(std::string_view aText);

/// Tells from its keys what a text holds.
/// @returns Config where a key of the outermost object belongs to a configuration alone.
DocumentKind
GuessDocumentKind(std::string_view aText);

/// Reads a text as the kind it is and throws the value away.
/// @returns OK, or InvalidArgument with every fault and its place, one a line.
absl::Status
CheckDocument(DocumentKind aKind, std::string_view aText);

} // namespace by
