#include "by_cli/BuildCall.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

#include "by_json/JsonText.h"
#include "by_json/generated/config_json.h"
#include "by_json/generated/intents_json.h"
#include "by_json/generated/requests_json.h"
#include "by_settings/ReadSettings.h"

namespace by {

namespace {

/// What differs between calls.
struct CallParts
{
  HttpMethod mMethod{ HttpMethod::Get };
  std::string mTarget;
  std::string mBody;
};

using PartsOrFault = absl::StatusOr<CallParts>;

/// Builds the parts of each command's call.
struct PartsBuilder
{
  std::string_view mFile;

  PartsOrFault operator()(const SubmitCommand& aSubmit) const
  {
    auto fields = aSubmit.Body().ToFields();
    if (!aSubmit.PayloadFile().empty()) {
      fields.mPayload = std::string(mFile);
    }
    const auto body = SubmitBody::Create(std::move(fields));
    if (!body.ok()) {
      return body.status();
    }
    return CallParts{ HttpMethod::Post, "/v1/requests", WriteJsonText(*body) };
  }

  PartsOrFault operator()(const PlanCommand& aPlan) const
  {
    auto spec = aPlan.Spec();
    if (!aPlan.File().empty()) {
      const auto read = ReadJsonText<IntentSpec>(mFile);
      if (!read.ok()) {
        return read.status();
      }
      spec = *read;
    }
    return CallParts{ HttpMethod::Post, "/v1/intents/plan", WriteJsonText(spec) };
  }

  PartsOrFault operator()(const ConfirmCommand& aConfirm) const
  {
    return CallParts{ HttpMethod::Post, IntentTarget(aConfirm.Intent()) + "/confirm", "" };
  }

  PartsOrFault operator()(const CancelCommand& aCancel) const
  {
    return CallParts{ HttpMethod::Post, IntentTarget(aCancel.Intent()) + "/cancel", "" };
  }

  PartsOrFault operator()(const StatusCommand& aStatus) const
  {
    if (!aStatus.Intent().IsEmpty()) {
      return Get(IntentTarget(aStatus.Intent()));
    }
    if (!aStatus.Team().IsEmpty()) {
      return Get(absl::StrCat("/v1/intents?team=", aStatus.Team().Text()));
    }
    return Get("/v1/intents");
  }

  PartsOrFault operator()(const PublishCommand& aPublish) const
  {
    const auto document = ReadConfigDocument(mFile);
    if (!document.ok()) {
      return document.status();
    }
    const auto change = ConfigPublish::Create({ .mBaseVersion = aPublish.BaseVersion(),
                                                .mDocument = *document,
                                                .mOperatorName = aPublish.OperatorName() });
    if (!change.ok()) {
      return change.status();
    }
    return CallParts{ HttpMethod::Post, "/v1/config", WriteJsonText(*change, Secrets::Shown) };
  }

  PartsOrFault operator()(const TeamsCommand&) const { return Get("/metrics"); }

  PartsOrFault operator()(const ShowConfigCommand& aShow) const
  {
    return Get(aShow.Tokens() ? "/v1/config?tokens=1" : "/v1/config");
  }

  PartsOrFault operator()(const ConfigStatusCommand&) const { return Get("/v1/config/status"); }

  PartsOrFault operator()(const NodesCommand& aNodes) const
  {
    return Get(aNodes.All() ? "/v1/nodes?all=1" : "/v1/nodes");
  }

  PartsOrFault operator()(const DrainCommand&) const
  {
    return CallParts{ HttpMethod::Post, "/v1/drain", "" };
  }

  PartsOrFault operator()(const DumpCommand& aDump) const
  {
    return Get(aDump.Brief() ? "/state?brief=1" : "/state");
  }

  template<class T>
  PartsOrFault operator()(const T&) const
  {
    return absl::InvalidArgumentError("the command calls no node");
  }

  static CallParts Get(std::string aTarget)
  {
    return { HttpMethod::Get, std::move(aTarget), std::string() };
  }

  static std::string IntentTarget(const IntentId& aIntent)
  {
    return absl::StrCat("/v1/intents/", aIntent.Text());
  }
};

} // namespace

std::string
FileOf(const ToolCommand& aCommand)
{
  if (const auto* submit = std::get_if<SubmitCommand>(&aCommand.Body())) {
    return submit->PayloadFile();
  }
  if (const auto* plan = std::get_if<PlanCommand>(&aCommand.Body())) {
    return plan->File();
  }
  if (const auto* publish = std::get_if<PublishCommand>(&aCommand.Body())) {
    return publish->File();
  }
  if (const auto* check = std::get_if<CheckFileCommand>(&aCommand.Body())) {
    return check->File();
  }
  return {};
}

absl::StatusOr<HttpCall>
BuildCall(const ToolCommand& aCommand, std::string_view aFile)
{
  auto parts = std::visit(PartsBuilder{ aFile }, aCommand.Body());
  if (!parts.ok()) {
    return parts.status();
  }
  return HttpCall::Create({ .mEndpoint = aCommand.Options().Node(),
                            .mMethod = parts->mMethod,
                            .mTarget = std::move(parts->mTarget),
                            .mBody = std::move(parts->mBody),
                            .mBearerToken = aCommand.Options().Token(),
                            .mTimeout = aCommand.Options().Timeout() });
}

} // namespace by
