#include "by_cell/detail/Emit.h"

#include "absl/strings/str_cat.h"

#include "by_cell/CellState.h"

namespace by::detail {

void
Log(Effects& aOut, std::string aEvent, std::string aSubject, std::string aDetail)
{
  Emit(aOut,
       LogLine::Create({ .mEvent = std::move(aEvent),
                         .mSubject = std::move(aSubject),
                         .mDetail = std::move(aDetail) })
         .value());
}

std::string
FormatRunId(const RunId& aRun)
{
  const auto& task = aRun.mTask;
  return absl::StrCat(
    task.Job(), ".", task.Occurrence(), ".", task.Step(), ".", task.Index(), "#", aRun.mRun);
}

void
Reply(const CellState& aState, const PendingCaller& aCaller, JobReply::Fields aReply, Effects& aOut)
{
  aReply.mCall = aCaller.mCall;
  auto reply = JobReply::Create(std::move(aReply)).value();
  if (aCaller.mNode == aState.mNode) {
    Emit(aOut, ReplyToCaller::Create({ .mReply = std::move(reply) }).value());
    return;
  }
  auto message = LinkMessage::Create({ .mBody = std::move(reply) }).value();
  Emit(aOut,
       SendToMember::Create(
         { .mNode = aCaller.mNode, .mMessage = std::move(message), .mLink = aCaller.mLink })
         .value());
}

void
ReplyRefused(const CellState& aState, const PendingCaller& aCaller, Time aRetryAfter, Effects& aOut)
{
  Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Refused, .mRetryAfter = aRetryAfter }, aOut);
}

} // namespace by::detail
