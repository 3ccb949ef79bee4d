#include "by_cli/FormatResult.h"

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "by_cli/detail/FormatTeams.h"
#include "by_cli/detail/WriteTables.h"
#include "by_json/JsonText.h"
#include "by_json/generated/api_json.h"
#include "by_json/generated/intents_json.h"
#include "by_json/generated/node_json.h"
#include "by_json/generated/requests_json.h"

namespace by {

namespace {

ToolOutput
Output(ExitCode aCode, std::string aOut, std::string aErr = "")
{
  return ToolOutput::Create(
           { .mExitCode = aCode, .mOut = std::move(aOut), .mErr = std::move(aErr) })
    .value();
}

ToolOutput
Failure(ExitCode aCode, const std::string& aSentence)
{
  return Output(aCode, "", absl::StrCat("bergamotyard: ", aSentence, "\n"));
}

/// @returns whether a call that was lost may have changed anything.
bool
ChangesSomething(const ToolCommand& aCommand)
{
  const auto& body = aCommand.Body();
  return std::holds_alternative<SubmitCommand>(body) ||
         std::holds_alternative<ConfirmCommand>(body) ||
         std::holds_alternative<CancelCommand>(body) ||
         std::holds_alternative<PublishCommand>(body) || std::holds_alternative<DrainCommand>(body);
}

ToolOutput
FormatIncomplete(const ToolCommand& aCommand, const HttpResult& aResult)
{
  const auto& node = aCommand.Options().Node();
  const auto place = absl::StrCat(node.Address(), ":", node.Port());
  if (aResult.Outcome() == CallOutcome::Lost && ChangesSomething(aCommand)) {
    return Failure(ExitCode::Unknown,
                   absl::StrCat("unknown: ",
                                place,
                                " gave no whole answer, the call may have taken effect: ",
                                aResult.Detail()));
  }
  return Failure(ExitCode::Unreachable,
                 absl::StrCat(place, " can't be reached: ", aResult.Detail()));
}

ExitCode
ExitCodeOf(const Answer& aAnswer)
{
  if (aAnswer.Outcome() == Outcome::Unknown) {
    return ExitCode::Unknown;
  }
  switch (aAnswer.Reason()) {
    case Reason::None:
      return aAnswer.Outcome() == Outcome::Answered ? ExitCode::Ok : ExitCode::Refused;
    case Reason::LabelReused:
      return ExitCode::Conflict;
    case Reason::Invalid:
      return ExitCode::Invalid;
    default:
      return ExitCode::Refused;
  }
}

ExitCode
ExitCodeOf(std::int64_t aStatus)
{
  switch (aStatus) {
    case 400:
    case 404:
    case 405:
    case 413:
    case 431:
      return ExitCode::Invalid;
    case 409:
      return ExitCode::Conflict;
    case 504:
      return ExitCode::Unknown;
    default:
      return ExitCode::Refused;
  }
}

ToolOutput
FormatError(const HttpResult& aResult)
{
  const auto error = ReadJsonText<ErrorBody>(aResult.Body());
  const auto sentence = error.ok()
                          ? absl::StrCat(error->Code(), ": ", error->Error())
                          : absl::StrCat("the node answered with status ", aResult.StatusCode());
  return Failure(ExitCodeOf(aResult.StatusCode()), sentence);
}

std::string
Line(const HttpResult& aResult)
{
  return absl::StrCat(aResult.Body(), "\n");
}

/// Writes a body that is as it should be.
/// @param aWrite writes it for people.
template<class T, class F>
ToolOutput
FormatBody(const ToolCommand& aCommand, const HttpResult& aResult, F aWrite)
{
  const auto value = ReadJsonText<T>(aResult.Body());
  if (!value.ok()) {
    return Failure(
      ExitCode::Refused,
      absl::StrCat("the node's reply can't be read: ", std::string(value.status().message())));
  }
  const bool json = aCommand.Options().Output() == OutputFormat::Json;
  return Output(ExitCode::Ok, json ? Line(aResult) : aWrite(*value));
}

template<class T>
ToolOutput
FormatBody(const ToolCommand& aCommand, const HttpResult& aResult)
{
  return FormatBody<T>(
    aCommand, aResult, [](const T& aValue) { return detail::WriteTable(aValue); });
}

ToolOutput
FormatAnswer(const ToolCommand& aCommand, const HttpResult& aResult)
{
  const auto answer = ReadJsonText<Answer>(aResult.Body());
  if (!answer.ok()) {
    return FormatError(aResult);
  }
  return FormatBody<Answer>(aCommand, aResult).WithExitCode(ExitCodeOf(*answer));
}

ToolOutput
FormatPlan(const ToolCommand& aCommand, const HttpResult& aResult)
{
  auto output = FormatBody<Plan>(aCommand, aResult);
  const auto plan = ReadJsonText<Plan>(aResult.Body());
  return plan.ok() && !plan->Feasible() ? output.WithExitCode(ExitCode::Refused) : output;
}

/// Writes each command's result where the call ended well.
struct ResultFormatter
{
  const ToolCommand& mCommand;
  const HttpResult& mResult;

  ToolOutput operator()(const PlanCommand&) const { return FormatPlan(mCommand, mResult); }

  ToolOutput operator()(const StatusCommand& aStatus) const
  {
    return aStatus.Intent().IsEmpty() ? FormatBody<IntentList>(mCommand, mResult)
                                      : FormatBody<IntentStatus>(mCommand, mResult);
  }

  ToolOutput operator()(const ShowConfigCommand& aShow) const
  {
    const auto secrets = aShow.Tokens() ? Secrets::Shown : Secrets::Hidden;
    return FormatBody<ConfigStatus>(mCommand, mResult, [secrets](const ConfigStatus& aStatus) {
      return detail::WriteDocument(aStatus, secrets);
    });
  }

  ToolOutput operator()(const ConfigStatusCommand&) const
  {
    return FormatBody<ConfigStatus>(mCommand, mResult);
  }

  ToolOutput operator()(const NodesCommand&) const
  {
    return FormatBody<NodeList>(mCommand, mResult);
  }

  ToolOutput operator()(const DumpCommand&) const
  {
    return FormatBody<StateDump>(mCommand, mResult);
  }

  ToolOutput operator()(const TeamsCommand& aTeams) const
  {
    auto text = detail::FormatTeams(mResult.Body(), aTeams.Team(), mCommand.Options().Output());
    return text.ok() ? Output(ExitCode::Ok, *std::move(text))
                     : Failure(ExitCode::Refused, std::string(text.status().message()));
  }

  /// Confirm, cancel, publish and drain show whatever the node has to show.
  template<class T>
  ToolOutput operator()(const T&) const
  {
    if (mCommand.Options().Output() == OutputFormat::Json) {
      return Output(ExitCode::Ok, Line(mResult));
    }
    if (const auto done = ReadJsonText<Done>(mResult.Body()); done.ok()) {
      return Output(ExitCode::Ok,
                    absl::StrCat(done->Detail().empty() ? "done" : done->Detail(), "\n"));
    }
    if (const auto status = ReadJsonText<ConfigStatus>(mResult.Body()); status.ok()) {
      return Output(ExitCode::Ok, detail::WriteTable(*status));
    }
    return FormatBody<IntentStatus>(mCommand, mResult);
  }
};

} // namespace

ToolOutput
FormatResult(const ToolCommand& aCommand, const HttpResult& aResult)
{
  constexpr std::int64_t kHttpOk = 200;
  if (aResult.Outcome() != CallOutcome::Completed) {
    return FormatIncomplete(aCommand, aResult);
  }
  if (std::holds_alternative<SubmitCommand>(aCommand.Body())) {
    return FormatAnswer(aCommand, aResult);
  }
  if (aResult.StatusCode() != kHttpOk) {
    return FormatError(aResult);
  }
  return std::visit(ResultFormatter{ aCommand, aResult }, aCommand.Body());
}

ToolOutput
FormatFault(const absl::Status& aStatus)
{
  const std::vector<std::string> lines = absl::StrSplit(std::string(aStatus.message()), '\n');
  std::string text;
  for (const auto& line : lines) {
    absl::StrAppend(&text, "bergamotyard: ", line, "\n");
  }
  return Output(ExitCode::Invalid, "", text);
}

} // namespace by
