#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CancelCommand.h"
#include "by_schema/CheckFileCommand.h"
#include "by_schema/ConfigStatusCommand.h"
#include "by_schema/ConfirmCommand.h"
#include "by_schema/DrainCommand.h"
#include "by_schema/DumpCommand.h"
#include "by_schema/HelpCommand.h"
#include "by_schema/NodesCommand.h"
#include "by_schema/PlanCommand.h"
#include "by_schema/PublishCommand.h"
#include "by_schema/ShowConfigCommand.h"
#include "by_schema/StatusCommand.h"
#include "by_schema/SubmitCommand.h"
#include "by_schema/TeamsCommand.h"
#include "by_schema/ToolOptions.h"
#include "by_schema/TraceCommand.h"
#include "by_schema/VersionCommand.h"

namespace by {

/// One command line.
class ToolCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Options that apply to every command.
    ToolOptions mOptions{};
    /// The command.
    std::variant<HelpCommand,
                 VersionCommand,
                 SubmitCommand,
                 PlanCommand,
                 ConfirmCommand,
                 CancelCommand,
                 StatusCommand,
                 CheckFileCommand,
                 PublishCommand,
                 ShowConfigCommand,
                 ConfigStatusCommand,
                 NodesCommand,
                 DrainCommand,
                 DumpCommand,
                 TraceCommand,
                 TeamsCommand>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ToolCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ToolCommand> Create(Fields aFields)
  {
    return ToolCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Options that apply to every command.
  const ToolOptions& Options() const { return mFields.mOptions; }
  /// @returns a copy of this value with another Options.
  [[nodiscard]] ToolCommand WithOptions(ToolOptions aValue) const
  {
    auto copy = *this;
    copy.mFields.mOptions = std::move(aValue);
    return copy;
  }

  /// The command.
  const std::variant<HelpCommand,
                     VersionCommand,
                     SubmitCommand,
                     PlanCommand,
                     ConfirmCommand,
                     CancelCommand,
                     StatusCommand,
                     CheckFileCommand,
                     PublishCommand,
                     ShowConfigCommand,
                     ConfigStatusCommand,
                     NodesCommand,
                     DrainCommand,
                     DumpCommand,
                     TraceCommand,
                     TeamsCommand>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] ToolCommand WithBody(std::variant<HelpCommand,
                                                  VersionCommand,
                                                  SubmitCommand,
                                                  PlanCommand,
                                                  ConfirmCommand,
                                                  CancelCommand,
                                                  StatusCommand,
                                                  CheckFileCommand,
                                                  PublishCommand,
                                                  ShowConfigCommand,
                                                  ConfigStatusCommand,
                                                  NodesCommand,
                                                  DrainCommand,
                                                  DumpCommand,
                                                  TraceCommand,
                                                  TeamsCommand> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ToolCommand&, const ToolCommand&) = default;
  friend auto operator<=>(const ToolCommand&, const ToolCommand&) = default;

private:
  explicit ToolCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
