#include "by_trace/LogRecord.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace by {

namespace {

/// Changes of the owner, and what an owner is exposed to.
constexpr std::array<std::string_view, 8> kCellEvents{ "owner.claimed",      "owner.stepped_down",
                                                       "owner.handing_over", "cell.restored",
                                                       "node.overloaded",    "node.caught_up",
                                                       "placement.missed",   "node.stopping" };

/// Events that each node writes of its reads too; only those of the owner's appends count.
constexpr std::array<std::string_view, 2> kAppendEvents{ "store.lost", "store.regained" };
constexpr std::string_view kAppendSubject = "append";

bool
Contains(const auto& aEvents, const std::string& aEvent)
{
  return std::find(aEvents.begin(), aEvents.end(), aEvent) != aEvents.end();
}

} // namespace

std::string
DetailOf(const LogRecord& aRecord, const std::string& aKey)
{
  const std::string& detail = aRecord.mDetail;
  const auto key = absl::StrCat(aKey, "=");
  auto at = detail.find(key);
  while (at != std::string::npos && at > 0 && detail[at - 1] != ' ') {
    at = detail.find(key, at + 1);
  }
  if (at == std::string::npos) {
    return {};
  }
  const auto first = at + key.size();
  const auto next = detail.find('=', first);
  const auto last = next == std::string::npos ? detail.size() : detail.rfind(' ', next);
  return last == std::string::npos || last < first ? std::string()
                                                   : detail.substr(first, last - first);
}

bool
IsOfJob(const LogRecord& aRecord, const std::string& aJob)
{
  const auto& subject = aRecord.mSubject;
  return subject == aJob || absl::StartsWith(subject, absl::StrCat(aJob, ".")) ||
         absl::EndsWith(subject, absl::StrCat("/", aJob));
}

bool
IsOfCell(const LogRecord& aRecord)
{
  return Contains(kCellEvents, aRecord.mEvent) ||
         (Contains(kAppendEvents, aRecord.mEvent) && aRecord.mSubject == kAppendSubject);
}

} // namespace by
