#include "by_cli/ParseArguments.h"

#include <exception>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "by_cli/detail/CommandForm.h"

namespace by {

namespace {

using detail::CommandBody;
using detail::CommandForm;

constexpr int kHighestPort = 65535;

ToolCommand
Plain(CommandBody aBody)
{
  return ToolCommand::Create({ .mBody = std::move(aBody) }).value();
}

/// Finds the command whose name the line begins with and takes its words off.
const CommandForm*
TakeForm(std::vector<std::string>& aWords)
{
  if (aWords.size() > 1) {
    if (const auto* form = detail::FindForm(absl::StrCat(aWords[0], " ", aWords[1]))) {
      aWords.erase(aWords.begin(), aWords.begin() + 2);
      return form;
    }
  }
  const auto* form = detail::FindForm(aWords[0]);
  if (form != nullptr) {
    aWords.erase(aWords.begin());
  }
  return form;
}

std::string
OptionOr(const cxxopts::ParseResult& aOptions, const char* aName, const std::string& aDefault)
{
  return aOptions.count(aName) > 0 ? aOptions[aName].as<std::string>() : aDefault;
}

absl::StatusOr<ToolOptions>
CallOptions(const cxxopts::ParseResult& aOptions, const ToolEnvironment& aEnvironment)
{
  const auto node = ParseNode(OptionOr(aOptions, "node", aEnvironment.mNode));
  if (!node.ok()) {
    return node.status();
  }
  const auto output = ParseOutputFormat(aOptions["output"].as<std::string>());
  if (!output.ok()) {
    return absl::InvalidArgumentError(
      absl::StrCat("--output: ", std::string(output.status().message())));
  }
  return ToolOptions::Create(
    { .mNode = *node,
      .mToken = OptionOr(aOptions, "token", aEnvironment.mToken),
      .mOutput = *output,
      .mTimeout = Time::FromMilliseconds(aOptions["timeout"].as<std::int64_t>()) });
}

absl::StatusOr<ToolCommand>
FromOptions(const CommandForm& aForm,
            const cxxopts::ParseResult& aOptions,
            const ToolEnvironment& aEnvironment)
{
  if (aOptions.count("help") > 0) {
    return Plain(HelpCommand::Create({ .mTopic = std::string(aForm.mName) }).value());
  }
  std::vector<std::string> operands;
  if (aOptions.count("operands") > 0) {
    operands = aOptions["operands"].as<std::vector<std::string>>();
  }
  auto body = aForm.mParse({ aOptions, std::move(operands), aEnvironment });
  if (!body.ok()) {
    return body.status();
  }
  if (!aForm.mCallsNode) {
    return Plain(*std::move(body));
  }
  const auto options = CallOptions(aOptions, aEnvironment);
  if (!options.ok()) {
    return options.status();
  }
  return ToolCommand::Create({ .mOptions = *options, .mBody = *std::move(body) });
}

absl::StatusOr<ToolCommand>
ParseForm(const CommandForm& aForm,
          const std::vector<std::string>& aWords,
          const ToolEnvironment& aEnvironment)
{
  std::vector<const char*> words{ "bergamotyard" };
  for (const auto& word : aWords) {
    words.push_back(word.c_str());
  }
  try {
    auto options = detail::OptionsOf(aForm);
    const auto parsed = options.parse(static_cast<int>(words.size()), words.data());
    return FromOptions(aForm, parsed, aEnvironment);
  } catch (const std::exception& exception) {
    return absl::InvalidArgumentError(exception.what());
  }
}

absl::Status
WithCommand(const CommandForm& aForm, const absl::Status& aStatus)
{
  return absl::InvalidArgumentError(
    absl::StrCat(std::string(aForm.mName), ": ", std::string(aStatus.message())));
}

} // namespace

absl::StatusOr<Endpoint>
ParseNode(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  int port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port < 1 || port > kHighestPort) {
    return absl::InvalidArgumentError(
      aText.empty() ? "needs --node ADDRESS:PORT or BERGAMOTYARD_NODE"
                    : absl::StrCat("--node: '", aText, "' is not ADDRESS:PORT"));
  }
  return Endpoint::Create({ .mAddress = aText.substr(0, colon), .mPort = port });
}

absl::StatusOr<ToolCommand>
ParseArguments(const std::vector<std::string>& aArguments, const ToolEnvironment& aEnvironment)
{
  if (aArguments.empty()) {
    return absl::InvalidArgumentError("needs a command, see --help");
  }
  if (aArguments[0] == "--help" || aArguments[0] == "-h" || aArguments[0] == "help") {
    return Plain(HelpCommand());
  }
  if (aArguments[0] == "--version") {
    return Plain(VersionCommand());
  }
  auto words = aArguments;
  const auto* form = TakeForm(words);
  if (form == nullptr) {
    return absl::InvalidArgumentError(
      absl::StrCat("'", aArguments[0], "' is not a command, see --help"));
  }
  auto command = ParseForm(*form, words, aEnvironment);
  if (!command.ok()) {
    return WithCommand(*form, command.status());
  }
  return command;
}

} // namespace by
