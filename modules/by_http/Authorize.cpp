#include "by_http/Authorize.h"

#include "by_core/ConstantTime.h"

namespace by {

namespace {

constexpr std::string_view kScheme = "Bearer ";

} // namespace

Caller
FindCaller(std::string_view aAuthorization, const HttpAccess& aAccess)
{
  if (!aAuthorization.starts_with(kScheme)) {
    return {};
  }
  const auto token = aAuthorization.substr(kScheme.size());
  Caller caller;
  if (aAccess.mTeams != nullptr) {
    for (const auto& it : aAccess.mTeams->Tokens()) {
      if (!it.Token().empty() && EqualInConstantTime(it.Token(), token)) {
        caller = { CallerKind::Team, it.Team() };
      }
    }
  }
  if (!aAccess.mOperatorToken.empty() && EqualInConstantTime(aAccess.mOperatorToken, token)) {
    caller = { CallerKind::Operator, TeamId() };
  }
  return caller;
}

} // namespace by
