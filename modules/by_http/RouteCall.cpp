#include "by_http/RouteCall.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include "by_http/Authorize.h"
#include "by_http/Replies.h"
#include "by_json/StrictJson.h"
#include "by_json/generated/config_json.h"
#include "by_json/generated/intents_json.h"
#include "by_json/generated/node_json.h"
#include "by_json/generated/requests_json.h"
#include "by_settings/CheckConfig.h"

namespace by {

namespace {

/// Who may make a call.
enum class Audience
{
  Anyone,
  Teams,
  Operators,
  TeamsAndOperators,
};

/// Everything that a call is built from.
struct CallParts
{
  const IncomingCall& mCall;
  const CallNames& mNames;
  TeamId mTeam;
  std::string mPathId;
  std::string mQuery;
};

/// One row of the table of calls.
struct Route
{
  std::string_view mMethod;
  std::string_view mPath;
  Audience mAudience;
  RoutedCall (*mBuild)(const CallParts&);
};

using OperatorBody = decltype(OperatorCall::Fields::mBody);

RoutedCall
Routed(decltype(RoutedCall::Fields::mBody) aBody)
{
  return RoutedCall::Create({ .mBody = std::move(aBody) }).value();
}

RoutedCall
Refused(std::int64_t aStatus, std::string_view aCode, std::string aError)
{
  return Routed(ErrorReply(aStatus, aCode, std::move(aError)));
}

RoutedCall
RefusedBody(const absl::Status& aStatus)
{
  const std::string problems(aStatus.message());
  return Refused(400, "invalid", absl::StrReplaceAll(problems, { { "\n", "; " } }));
}

/// Puts a key before the place of every finding.
Findings
UnderKey(std::string_view aKey, const Findings& aFindings)
{
  Findings moved;
  for (const auto& it : aFindings.All()) {
    moved.Add(absl::StrCat(std::string(aKey), ".", it.Place()), it.Problem());
  }
  return moved;
}

RoutedCall
Operate(const CallParts& aParts, OperatorBody aBody)
{
  return Routed(OperatorCall::Create({ .mCall = aParts.mNames.mCall,
                                       .mTeam = aParts.mTeam,
                                       .mFreshId = aParts.mNames.mDrawn,
                                       .mBody = std::move(aBody) })
                  .value());
}

std::optional<std::string>
QueryValue(const std::string& aQuery, std::string_view aKey)
{
  const std::vector<std::string> pairs = absl::StrSplit(aQuery, '&');
  for (const auto& pair : pairs) {
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aKey) {
      return equals == std::string::npos ? std::string() : pair.substr(equals + 1);
    }
  }
  return std::nullopt;
}

bool
QueryFlag(const std::string& aQuery, std::string_view aKey)
{
  const auto value = QueryValue(aQuery, aKey);
  return value.has_value() && *value != "0" && *value != "false";
}

RoutedCall
BuildSubmit(const CallParts& aParts)
{
  const auto body = ReadStrictJsonText<SubmitBody>(aParts.mCall.Body());
  if (!body.ok()) {
    return RefusedBody(body.status());
  }
  const auto request = Request::Create({ .mId = RequestId(aParts.mNames.mDrawn),
                                         .mTeam = aParts.mTeam,
                                         .mLabel = body->Label(),
                                         .mKind = body->Kind(),
                                         .mIdempotent = body->Idempotent(),
                                         .mPriority = body->Priority(),
                                         .mResources = body->Resources(),
                                         .mMaxWait = body->MaxWait(),
                                         .mDeclaredLength = body->DeclaredLength(),
                                         .mPayload = body->Payload() });
  if (!request.ok()) {
    return RefusedBody(request.status());
  }
  return Routed(CallerSubmitted::Create({ .mRequest = *request }).value());
}

RoutedCall
BuildPlan(const CallParts& aParts)
{
  const auto spec = ReadStrictJsonText<IntentSpec>(aParts.mCall.Body());
  if (!spec.ok()) {
    return RefusedBody(spec.status());
  }
  if (!aParts.mTeam.IsEmpty() && spec->Team() != aParts.mTeam) {
    return Refused(403, "forbidden", "team: the token speaks for another team");
  }
  return Operate(aParts, PlanIntent::Create({ .mSpec = *spec }).value());
}

RoutedCall
BuildConfirm(const CallParts& aParts)
{
  return Operate(aParts, ConfirmIntent::Create({ .mIntent = IntentId(aParts.mPathId) }).value());
}

RoutedCall
BuildCancel(const CallParts& aParts)
{
  return Operate(aParts, CancelIntent::Create({ .mIntent = IntentId(aParts.mPathId) }).value());
}

RoutedCall
BuildShowIntent(const CallParts& aParts)
{
  return Operate(aParts, ShowIntent::Create({ .mIntent = IntentId(aParts.mPathId) }).value());
}

RoutedCall
BuildListIntents(const CallParts& aParts)
{
  const TeamId asked(QueryValue(aParts.mQuery, "team").value_or(""));
  const auto& team = aParts.mTeam.IsEmpty() ? asked : aParts.mTeam;
  if (!asked.IsEmpty() && asked != team) {
    return Refused(403, "forbidden", "team: the token speaks for another team");
  }
  return Operate(aParts, ListIntents::Create({ .mTeam = team }).value());
}

RoutedCall
BuildPublish(const CallParts& aParts)
{
  const auto change = ReadStrictJsonText<ConfigPublish>(aParts.mCall.Body());
  if (!change.ok()) {
    return RefusedBody(change.status());
  }
  Findings findings;
  CheckConfig(change->Document(), findings);
  if (!findings.IsEmpty()) {
    return RefusedBody(UnderKey("document", findings).ToStatus());
  }
  return Operate(aParts, PublishConfig::Create({ .mChange = *change }).value());
}

RoutedCall
BuildShowConfig(const CallParts& aParts)
{
  return Operate(aParts, ShowConfig::Create({ .mDocument = true }).value());
}

RoutedCall
BuildConfigStatus(const CallParts& aParts)
{
  return Operate(aParts, ShowConfig::Create({ .mDocument = false }).value());
}

RoutedCall
BuildNodes(const CallParts& aParts)
{
  return Operate(aParts, ShowNodes::Create({ .mAll = QueryFlag(aParts.mQuery, "all") }).value());
}

RoutedCall
BuildState(const CallParts& aParts)
{
  return Operate(aParts,
                 ShowState::Create({ .mBrief = QueryFlag(aParts.mQuery, "brief") }).value());
}

RoutedCall
BuildDrain(const CallParts& aParts)
{
  return Operate(aParts, DrainNode::Create({ .mOperatorName = "operator" }).value());
}

RoutedCall
BuildMetrics(const CallParts&)
{
  return Routed(ReadPage::Create({ .mPage = Page::Metrics }).value());
}

RoutedCall
BuildHealth(const CallParts&)
{
  return Routed(ReadPage::Create({ .mPage = Page::Health }).value());
}

RoutedCall
BuildReadiness(const CallParts&)
{
  return Routed(ReadPage::Create({ .mPage = Page::Readiness }).value());
}

constexpr std::array kRoutes{
  Route{ "POST", "/v1/requests", Audience::Teams, BuildSubmit },
  Route{ "POST", "/v1/intents/plan", Audience::TeamsAndOperators, BuildPlan },
  Route{ "POST", "/v1/intents/{id}/confirm", Audience::TeamsAndOperators, BuildConfirm },
  Route{ "POST", "/v1/intents/{id}/cancel", Audience::TeamsAndOperators, BuildCancel },
  Route{ "GET", "/v1/intents", Audience::TeamsAndOperators, BuildListIntents },
  Route{ "GET", "/v1/intents/{id}", Audience::TeamsAndOperators, BuildShowIntent },
  Route{ "GET", "/v1/config", Audience::Operators, BuildShowConfig },
  Route{ "GET", "/v1/config/status", Audience::Operators, BuildConfigStatus },
  Route{ "POST", "/v1/config", Audience::Operators, BuildPublish },
  Route{ "GET", "/v1/nodes", Audience::Operators, BuildNodes },
  Route{ "POST", "/v1/drain", Audience::Operators, BuildDrain },
  Route{ "GET", "/state", Audience::Operators, BuildState },
  Route{ "GET", "/metrics", Audience::Anyone, BuildMetrics },
  Route{ "GET", "/healthz", Audience::Anyone, BuildHealth },
  Route{ "GET", "/readyz", Audience::Anyone, BuildReadiness },
};

/// @returns the text that stands for "{id}", empty where there is none, or nothing without a match.
std::optional<std::string>
MatchPath(std::string_view aPattern, std::string_view aPath)
{
  const std::vector<std::string> pattern = absl::StrSplit(std::string(aPattern), '/');
  const std::vector<std::string> path = absl::StrSplit(std::string(aPath), '/');
  if (pattern.size() != path.size()) {
    return std::nullopt;
  }
  std::string id;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "{id}" && !path[i].empty()) {
      id = path[i];
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  return id;
}

bool
MayCall(Audience aAudience, CallerKind aKind)
{
  switch (aAudience) {
    case Audience::Anyone:
      return true;
    case Audience::Teams:
      return aKind == CallerKind::Team;
    case Audience::Operators:
      return aKind == CallerKind::Operator;
    case Audience::TeamsAndOperators:
      return aKind != CallerKind::Nobody;
  }
  return false;
}

std::string_view
NameOf(Audience aAudience)
{
  return aAudience == Audience::Teams ? "a team" : "an operator";
}

RoutedCall
Follow(const Route& aRoute, const HttpAccess& aAccess, CallParts aParts)
{
  const auto caller = FindCaller(aParts.mCall.Authorization(), aAccess);
  if (aRoute.mAudience != Audience::Anyone && caller.mKind == CallerKind::Nobody) {
    if (aAccess.mTeams == nullptr && !aParts.mCall.Authorization().empty()) {
      // Teams' tokens come with the configuration; a valid one can't be told from a wrong one yet.
      return Refused(503, "unavailable", "the node has no configuration yet");
    }
    return Refused(401, "unauthorized", "the bearer token is missing or not known");
  }
  if (!MayCall(aRoute.mAudience, caller.mKind)) {
    const std::string audience(NameOf(aRoute.mAudience));
    return Refused(403, "forbidden", absl::StrCat("this call needs the token of ", audience));
  }
  aParts.mTeam = caller.mTeam;
  return aRoute.mBuild(aParts);
}

std::string
QueryOf(const std::string& aTarget)
{
  const auto mark = aTarget.find('?');
  return mark == std::string::npos ? std::string() : aTarget.substr(mark + 1);
}

} // namespace

bool
AsksForSecrets(const IncomingCall& aCall)
{
  return QueryFlag(QueryOf(aCall.Target()), "tokens");
}

RoutedCall
RouteCall(const IncomingCall& aCall, const HttpAccess& aAccess, const CallNames& aNames)
{
  const auto& target = aCall.Target();
  const auto path = target.substr(0, target.find('?'));
  bool pathKnown = false;
  for (const auto& route : kRoutes) {
    const auto id = MatchPath(route.mPath, path);
    if (!id.has_value()) {
      continue;
    }
    pathKnown = true;
    if (route.mMethod == aCall.Method()) {
      return Follow(route, aAccess, { aCall, aNames, TeamId(), *id, QueryOf(target) });
    }
  }
  if (pathKnown) {
    return Refused(405, "method_not_allowed", "the path does not take this method");
  }
  return Refused(404, "not_found", "there is no such path");
}

} // namespace by
