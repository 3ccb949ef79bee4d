#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cli/detail/CommandForm.h"
#include "by_cli/detail/WorkOptions.h"

namespace by::detail {

namespace {

constexpr auto kShortCall = Time::FromSeconds(15);
constexpr auto kLongCall = Time::FromSeconds(3600);

/// @returns the only operand, or InvalidArgument.
absl::StatusOr<std::string>
OnlyOperand(const ParsedLine& aLine, std::string_view aName)
{
  if (aLine.mOperands.size() != 1 || aLine.mOperands.front().empty()) {
    return absl::InvalidArgumentError(
      absl::StrCat("needs exactly one ", std::string(aName), ", see --help"));
  }
  return aLine.mOperands.front();
}

/// @returns OK where there is no operand.
absl::Status
NoOperand(const ParsedLine& aLine)
{
  if (aLine.mOperands.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", aLine.mOperands.front(), "' is one word too many, see --help"));
}

/// @returns a name that may stand in a path, or InvalidArgument.
absl::StatusOr<std::string>
NameInPath(const std::string& aName)
{
  const auto plain = [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'z') ||
           (aChar >= 'A' && aChar <= 'Z') || aChar == '-' || aChar == '_' || aChar == '.';
  };
  if (!std::all_of(aName.begin(), aName.end(), plain)) {
    return absl::InvalidArgumentError(
      absl::StrCat("'", aName, "' may hold letters, digits, '-', '_' and '.' only"));
  }
  return aName;
}

absl::StatusOr<IntentId>
IntentOperand(const ParsedLine& aLine)
{
  const auto operand = OnlyOperand(aLine, "INTENT");
  if (!operand.ok()) {
    return operand.status();
  }
  const auto name = NameInPath(*operand);
  if (!name.ok()) {
    return name.status();
  }
  return IntentId(*name);
}

std::string
OperatorName(const ParsedLine& aLine)
{
  return aLine.mOptions.count("operator") > 0 ? aLine.mOptions["operator"].as<std::string>()
                                              : aLine.mEnvironment.mUser;
}

absl::StatusOr<CommandBody>
ParseConfirm(const ParsedLine& aLine)
{
  const auto intent = IntentOperand(aLine);
  if (!intent.ok()) {
    return intent.status();
  }
  return ConfirmCommand::Create({ .mIntent = *intent }).value();
}

absl::StatusOr<CommandBody>
ParseCancel(const ParsedLine& aLine)
{
  const auto intent = IntentOperand(aLine);
  if (!intent.ok()) {
    return intent.status();
  }
  return CancelCommand::Create({ .mIntent = *intent }).value();
}

void
AddStatusOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("team", "Only this team's intents", cxxopts::value<std::string>(), "TEAM");
}

absl::StatusOr<CommandBody>
ParseStatus(const ParsedLine& aLine)
{
  StatusCommand::Fields fields;
  if (!aLine.mOperands.empty()) {
    const auto intent = IntentOperand(aLine);
    if (!intent.ok()) {
      return intent.status();
    }
    fields.mIntent = *intent;
  }
  if (aLine.mOptions.count("team") > 0) {
    const auto team = NameInPath(aLine.mOptions["team"].as<std::string>());
    if (!team.ok()) {
      return team.status();
    }
    fields.mTeam = TeamId(*team);
  }
  return StatusCommand::Create(std::move(fields)).value();
}

void
AddCheckOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "kind", "What FILE holds: guess, node or config", cxxopts::value<std::string>(), "KIND");
}

absl::StatusOr<CommandBody>
ParseCheckFile(const ParsedLine& aLine)
{
  const auto file = OnlyOperand(aLine, "FILE");
  if (!file.ok()) {
    return file.status();
  }
  CheckFileCommand::Fields fields{ .mFile = *file };
  if (aLine.mOptions.count("kind") > 0) {
    const auto kind = ParseFileKind(aLine.mOptions["kind"].as<std::string>());
    if (!kind.ok()) {
      return kind.status();
    }
    fields.mKind = *kind;
  }
  return CheckFileCommand::Create(std::move(fields)).value();
}

void
AddPublishOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("base",
                         "The version that FILE was made from, see config show",
                         cxxopts::value<std::uint64_t>(),
                         "VERSION")(
    "operator", "Who publishes; $USER without it", cxxopts::value<std::string>(), "NAME");
}

absl::StatusOr<CommandBody>
ParsePublish(const ParsedLine& aLine)
{
  const auto file = OnlyOperand(aLine, "FILE");
  if (!file.ok()) {
    return file.status();
  }
  if (aLine.mOptions.count("base") == 0) {
    return absl::InvalidArgumentError("needs --base VERSION, see config show");
  }
  return PublishCommand::Create({ .mFile = *file,
                                  .mBaseVersion = aLine.mOptions["base"].as<std::uint64_t>(),
                                  .mOperatorName = OperatorName(aLine) })
    .value();
}

void
AddShowConfigOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("with-tokens", "Shows the teams' tokens, as publishing needs them");
}

absl::StatusOr<CommandBody>
ParseShowConfig(const ParsedLine& aLine)
{
  if (auto status = NoOperand(aLine); !status.ok()) {
    return status;
  }
  return ShowConfigCommand::Create({ .mTokens = aLine.mOptions.count("with-tokens") > 0 }).value();
}

absl::StatusOr<CommandBody>
ParseConfigStatus(const ParsedLine& aLine)
{
  if (auto status = NoOperand(aLine); !status.ok()) {
    return status;
  }
  return ConfigStatusCommand();
}

void
AddAllOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()("all", "Shows suspected members too");
}

absl::StatusOr<CommandBody>
ParseNodes(const ParsedLine& aLine)
{
  if (auto status = NoOperand(aLine); !status.ok()) {
    return status;
  }
  return NodesCommand::Create({ .mAll = aLine.mOptions.count("all") > 0 }).value();
}

absl::StatusOr<CommandBody>
ParseDrain(const ParsedLine& aLine)
{
  if (auto status = NoOperand(aLine); !status.ok()) {
    return status;
  }
  return DrainCommand::Create({ .mOperatorName = aLine.mEnvironment.mUser }).value();
}

void
AddDumpOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("brief", "Cuts long tables");
}

absl::StatusOr<CommandBody>
ParseDump(const ParsedLine& aLine)
{
  if (auto status = NoOperand(aLine); !status.ok()) {
    return status;
  }
  return DumpCommand::Create({ .mBrief = aLine.mOptions.count("brief") > 0 }).value();
}

void
AddTraceOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("json", "Prints one JSON object")("brief", "Leaves out the log lines");
}

absl::StatusOr<CommandBody>
ParseTrace(const ParsedLine& aLine)
{
  if (aLine.mOperands.size() < 2 || aLine.mOperands.front().empty()) {
    return absl::InvalidArgumentError("needs a JOB and at least one FILE, see --help");
  }
  return TraceCommand::Create({ .mJob = aLine.mOperands.front(),
                                .mFiles = { aLine.mOperands.begin() + 1, aLine.mOperands.end() },
                                .mJson = aLine.mOptions.count("json") > 0,
                                .mBrief = aLine.mOptions.count("brief") > 0 })
    .value();
}

absl::StatusOr<CommandBody>
ParseTeams(const ParsedLine& aLine)
{
  if (aLine.mOperands.size() > 1) {
    return absl::InvalidArgumentError("takes one TEAM at most, see --help");
  }
  return TeamsCommand::Create(
           { .mTeam = aLine.mOperands.empty() ? std::string() : aLine.mOperands.front() })
    .value();
}

void
AddNodeOptions(cxxopts::Options& aOptions, const CommandForm& aForm)
{
  aOptions.add_options("Call")("node",
                               "Entry node; $BERGAMOTYARD_NODE without it",
                               cxxopts::value<std::string>(),
                               "ADDRESS:PORT")("token",
                                               "Bearer token; $BERGAMOTYARD_TOKEN without it",
                                               cxxopts::value<std::string>(),
                                               "TOKEN")(
    "timeout",
    "Bound on the call in milliseconds",
    cxxopts::value<std::int64_t>()->default_value(absl::StrCat(aForm.mTimeout.Milliseconds())),
    "MS")(
    "output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT");
}

CommandForm
TeamsForm()
{
  return { "teams",
           "[TEAM]",
           "Shows teams with share, quota, usage, queue and refusals, from a node's metrics",
           true,
           kShortCall,
           nullptr,
           ParseTeams };
}

} // namespace

const std::vector<CommandForm>&
CommandForms()
{
  static const std::vector<CommandForm> kForms{
    { "submit",
      "",
      "Sends a request and waits for its answer",
      true,
      kLongCall,
      AddSubmitOptions,
      ParseSubmit },
    { "plan",
      "[FILE]",
      "Plans an intent, from a JSON file or from options",
      true,
      kShortCall,
      AddPlanOptions,
      ParsePlan },
    { "confirm", "INTENT", "Confirms a plan", true, kShortCall, nullptr, ParseConfirm },
    { "cancel", "INTENT", "Cancels an intent", true, kShortCall, nullptr, ParseCancel },
    { "status",
      "[INTENT]",
      "Shows one intent with its tasks, or lists all",
      true,
      kShortCall,
      AddStatusOptions,
      ParseStatus },
    { "config check",
      "FILE",
      "Checks settings or a configuration and reports every fault",
      false,
      kShortCall,
      AddCheckOptions,
      ParseCheckFile },
    { "config publish",
      "FILE",
      "Publishes a configuration",
      true,
      kShortCall,
      AddPublishOptions,
      ParsePublish },
    { "config show",
      "",
      "Shows the configuration in force",
      true,
      kShortCall,
      AddShowConfigOptions,
      ParseShowConfig },
    { "config status",
      "",
      "Shows the version in force on each node",
      true,
      kShortCall,
      nullptr,
      ParseConfigStatus },
    { "nodes", "", "Shows the entry nodes", true, kShortCall, AddAllOption, ParseNodes },
    { "drain",
      "",
      "Starts the planned stop of the node that is called",
      true,
      kShortCall,
      nullptr,
      ParseDrain },
    { "dump",
      "",
      "Shows the whole state of the node that is called",
      true,
      kShortCall,
      AddDumpOptions,
      ParseDump },
    TeamsForm(),
    { "trace",
      "JOB FILE...",
      "Explains from the logs of nodes what became of a job",
      false,
      kShortCall,
      AddTraceOptions,
      ParseTrace },
  };
  return kForms;
}

const CommandForm*
FindForm(std::string_view aName)
{
  const auto& forms = CommandForms();
  const auto it = std::find_if(
    forms.begin(), forms.end(), [aName](const CommandForm& aForm) { return aForm.mName == aName; });
  return it == forms.end() ? nullptr : &*it;
}

cxxopts::Options
OptionsOf(const CommandForm& aForm)
{
  cxxopts::Options options(absl::StrCat("bergamotyard ", std::string(aForm.mName)),
                           std::string(aForm.mSummary));
  if (aForm.mAddOptions != nullptr) {
    aForm.mAddOptions(options);
  }
  if (aForm.mCallsNode) {
    AddNodeOptions(options, aForm);
  }
  options.add_options("Hidden")("operands", "", cxxopts::value<std::vector<std::string>>());
  options.add_options()("h,help", "Shows this text");
  options.parse_positional("operands");
  options.custom_help("[OPTION...]");
  options.positional_help(std::string(aForm.mOperands));
  return options;
}

} // namespace by::detail
