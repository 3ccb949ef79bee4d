#include "by_cli/RunTool.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <variant>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

#include "by_cli/BuildCall.h"
#include "by_cli/FormatResult.h"
#include "by_cli/HelpText.h"
#include "by_cli/ParseArguments.h"
#include "by_cli/RunTrace.h"
#include "by_client/BlockingCall.h"
#include "by_settings/ReadSettings.h"

namespace by {

namespace {

std::string
ReadAll(std::istream& aStream)
{
  return { std::istreambuf_iterator<char>(aStream), std::istreambuf_iterator<char>() };
}

absl::StatusOr<std::string>
ReadFile(const std::string& aFile)
{
  if (aFile.empty()) {
    return std::string();
  }
  if (aFile == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream file(aFile, std::ios::binary);
  if (!file) {
    return absl::InvalidArgumentError(absl::StrCat(aFile, ": can't be read"));
  }
  return ReadAll(file);
}

ToolOutput
Printed(std::string aText)
{
  return ToolOutput::Create({ .mOut = std::move(aText) }).value();
}

DocumentKind
KindOf(const CheckFileCommand& aCommand, const std::string& aText)
{
  switch (aCommand.Kind()) {
    case FileKind::Node:
      return DocumentKind::NodeSettings;
    case FileKind::Config:
      return DocumentKind::Config;
    case FileKind::Guess:
      break;
  }
  return GuessDocumentKind(aText);
}

ToolOutput
CheckFile(const CheckFileCommand& aCommand, const std::string& aText)
{
  const auto kind = KindOf(aCommand, aText);
  const auto status = CheckDocument(kind, aText);
  if (!status.ok()) {
    return FormatFault(status);
  }
  const auto* what = kind == DocumentKind::Config ? "configuration" : "settings of a node";
  return Printed(absl::StrCat(aCommand.File(), ": ", what, ", no faults\n"));
}

} // namespace

ToolOutput
RunTool(const std::vector<std::string>& aArguments, const ToolEnvironment& aEnvironment)
{
  const auto command = ParseArguments(aArguments, aEnvironment);
  if (!command.ok()) {
    return FormatFault(command.status());
  }
  if (const auto* help = std::get_if<HelpCommand>(&command->Body())) {
    return Printed(HelpText(help->Topic()));
  }
  if (std::holds_alternative<VersionCommand>(command->Body())) {
    return Printed(absl::StrCat("bergamotyard ", aEnvironment.mVersion, "\n"));
  }
  if (const auto* trace = std::get_if<TraceCommand>(&command->Body())) {
    return RunTrace(*trace);
  }
  const auto file = ReadFile(FileOf(*command));
  if (!file.ok()) {
    return FormatFault(file.status());
  }
  if (const auto* check = std::get_if<CheckFileCommand>(&command->Body())) {
    return CheckFile(*check, *file);
  }
  const auto call = BuildCall(*command, *file);
  if (!call.ok()) {
    return FormatFault(call.status());
  }
  return FormatResult(*command, CallAndWait(*call));
}

} // namespace by
