#include "by_cli/FormatTrace.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "by_cli/detail/TextTable.h"
#include "by_trace/JobTrace.h"

namespace by {

namespace {

/// @returns the time from the first stage or record on. [ms]
std::int64_t
Offset(const JobTrace& aTrace, Time aAt)
{
  const auto origin =
    aTrace.mStages.empty() ? aTrace.mRecords.front().mAt : aTrace.mStages.front().mAt;
  return (aAt - origin).Milliseconds();
}

std::string
Headline(const JobTrace& aTrace)
{
  const auto outcome = aTrace.mOutcome.empty() ? "no end in the logs" : aTrace.mOutcome;
  auto text = absl::StrCat("job ", aTrace.mJob, ": ", outcome);
  if (!aTrace.mOutcome.empty()) {
    absl::StrAppend(&text, " after ", Offset(aTrace, aTrace.mStages.back().mAt), " ms");
  }
  return text + "\n";
}

} // namespace

std::string
FormatTrace(const JobTrace& aTrace, bool aIsBrief)
{
  auto text = Headline(aTrace);
  if (!aTrace.mGap.empty()) {
    absl::StrAppend(&text, "incomplete: ", aTrace.mGap, "\n");
  }
  if (!aTrace.mStages.empty()) {
    std::vector<detail::TextRow> rows{ { "STAGE", "MS", "NODE" } };
    for (const auto& stage : aTrace.mStages) {
      rows.push_back({ stage.mName, absl::StrCat(Offset(aTrace, stage.mAt)), stage.mNode });
    }
    absl::StrAppend(&text, "\n", detail::WriteColumns(rows));
  }
  if (!aTrace.mReasons.empty()) {
    std::vector<detail::TextRow> rows{ { "WHAT", "REASON", "TIMES" } };
    for (const auto& reason : aTrace.mReasons) {
      rows.push_back({ reason.mKind, reason.mReason, absl::StrCat(reason.mCount) });
    }
    absl::StrAppend(&text, "\n", detail::WriteColumns(rows));
  }
  if (aIsBrief) {
    return text;
  }
  std::vector<detail::TextRow> rows{ { "MS", "NODE", "EVENT", "SUBJECT", "DETAIL" } };
  for (const auto& record : aTrace.mRecords) {
    rows.push_back({ absl::StrCat(Offset(aTrace, record.mAt)),
                     record.mNode,
                     record.mEvent,
                     record.mSubject,
                     record.mDetail });
  }
  return absl::StrCat(text, "\n", detail::WriteColumns(rows));
}

std::string
FormatTraceJson(const JobTrace& aTrace)
{
  boost::json::array stages;
  for (const auto& stage : aTrace.mStages) {
    stages.push_back(
      { { "stage", stage.mName }, { "at", stage.mAt.Milliseconds() }, { "node", stage.mNode } });
  }
  boost::json::array reasons;
  for (const auto& reason : aTrace.mReasons) {
    reasons.push_back(
      { { "what", reason.mKind }, { "reason", reason.mReason }, { "times", reason.mCount } });
  }
  boost::json::array records;
  for (const auto& record : aTrace.mRecords) {
    records.push_back({ { "at", record.mAt.Milliseconds() },
                        { "node", record.mNode },
                        { "event", record.mEvent },
                        { "subject", record.mSubject },
                        { "detail", record.mDetail } });
  }
  const boost::json::object trace{ { "job", aTrace.mJob },
                                   { "outcome", aTrace.mOutcome },
                                   { "incomplete", aTrace.mGap },
                                   { "stages", std::move(stages) },
                                   { "reasons", std::move(reasons) },
                                   { "records", std::move(records) } };
  return absl::StrCat(boost::json::serialize(trace), "\n");
}

} // namespace by
