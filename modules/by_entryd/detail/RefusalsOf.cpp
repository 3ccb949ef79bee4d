#include "by_entryd/detail/RefusalsOf.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "by_entryd/detail/DetailText.h"

namespace by::detail {

namespace {

/// How the reason of a line begins, and the label that counts it.
struct ReasonText
{
  std::string_view mBegin;
  std::string_view mReason;
};

constexpr ReasonText kReasonTexts[] = {
  { "reason=unknown key", "unauthorized" },
  { "reason=configuration not confirmed", "unconfirmed" },
  { "reason=step exceeds the team's quota", "quota" },
  { "reason=team over rate", "rate" },
};

/// The line that counts the keys refused since the one before it.
constexpr std::string_view kKeysRefused = "key.refused";

void
AddCount(const LogLine& aLine,
         std::string_view aKey,
         std::string_view aReason,
         std::vector<Refusal>& aOut)
{
  const auto count = FindNumber(aLine.Detail(), aKey).value_or(0);
  if (count > 0) {
    aOut.push_back({ .mReason = aReason, .mTeam = {}, .mCount = count });
  }
}

} // namespace

bool
MayReportRefusals(std::string_view aEvent)
{
  return aEvent == kKeysRefused || aEvent == "call.refused" || aEvent == "job.refused";
}

std::vector<Refusal>
RefusalsOf(const LogLine& aLine)
{
  std::vector<Refusal> out;
  if (!MayReportRefusals(aLine.Event())) {
    return out;
  }
  if (aLine.Event() == kKeysRefused) {
    AddCount(aLine, "unknown", "unauthorized", out);
    AddCount(aLine, "unconfirmed", "unconfirmed", out);
    return out;
  }
  const std::string_view detail = aLine.Detail();
  const auto* text =
    std::find_if(std::begin(kReasonTexts), std::end(kReasonTexts), [&](const auto& aText) {
      return detail.starts_with(aText.mBegin);
    });
  if (text != std::end(kReasonTexts)) {
    out.push_back({ .mReason = text->mReason,
                    .mTeam = std::string(FindWord(detail, "team")),
                    .mCount = 1 + FindNumber(detail, "unlogged").value_or(0) });
  }
  return out;
}

} // namespace by::detail
