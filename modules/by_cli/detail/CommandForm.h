#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

#include "absl/status/statusor.h"

#include "by_cli/ToolEnvironment.h"
#include "by_schema/ToolCommand.h"

namespace by::detail {

using CommandBody = decltype(ToolCommand::Fields::mBody);

/// A command line after its options were read.
struct ParsedLine
{
  const cxxopts::ParseResult& mOptions;
  /// What stood on the line besides options and the command's name.
  std::vector<std::string> mOperands;
  const ToolEnvironment& mEnvironment;
};

/// One command of the tool.
struct CommandForm
{
  /// Its name, such as "config check".
  std::string_view mName;
  /// What it takes besides options, as shown in help.
  std::string_view mOperands;
  /// One line of help.
  std::string_view mSummary;
  /// Whether it calls a node.
  bool mCallsNode;
  /// The default bound on its call.
  Time mTimeout;
  /// Adds its own options; null where it has none.
  void (*mAddOptions)(cxxopts::Options& aOptions);
  /// Builds the command.
  absl::StatusOr<CommandBody> (*mParse)(const ParsedLine& aLine);
};

/// @returns all commands in the order of help.
const std::vector<CommandForm>&
CommandForms();

/// @returns the command of that name, or null.
const CommandForm*
FindForm(std::string_view aName);

/// @returns the parser of a command's options.
cxxopts::Options
OptionsOf(const CommandForm& aForm);

} // namespace by::detail
