#include "by_trace/JobTrace.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace by {

namespace {

/// Records of the cell shortly before and after those of the job may explain its first and last
/// ones.
constexpr Time kContextTime = Time::FromMilliseconds(2000);

struct StageOfEvent
{
  const char* mEvent;
  const char* mStage;
};

/// Events that each begin a stage, in the order of a job without faults.
constexpr StageOfEvent kStages[] = {
  { "job.received", "received" },
  { "job.accepted", "accepted" },
  { "advice.asked", "advice queried" },
  { "advice.answered", "advice answered" },
  { "task.placed", "first placed" },
  { "run.ended", "first run ended" },
  { "job.ended", "ended" },
};

/// An event that names a reason, and the key of the reason in its detail.
struct ReasonOfEvent
{
  const char* mEvent;
  const char* mKind;
  const char* mKey;
};

constexpr ReasonOfEvent kReasons[] = {
  { "step.waiting", "waiting", "for" },
  { "job.refused", "refused", "reason" },
  { "call.refused", "refused", "reason" },
  { "call.given_up", "given up", "reason" },
  { "start.dropped", "start dropped", "reason" },
  { "start.refused", "start refused", "reason" },
  { "run.ended", "run ended", "how" },
  { "task.suspected", "suspected", "role" },
  { "task.given_up", "task given up", "reason" },
};

std::vector<TraceStage>
StagesOf(const std::vector<LogRecord>& aRecords)
{
  std::vector<TraceStage> stages;
  for (const auto& stage : kStages) {
    const auto first = std::find_if(aRecords.begin(), aRecords.end(), [&](const auto& aRecord) {
      return aRecord.mEvent == stage.mEvent;
    });
    if (first != aRecords.end()) {
      stages.push_back({ stage.mStage, first->mAt, first->mNode });
    }
  }
  std::stable_sort(stages.begin(), stages.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return stages;
}

std::vector<TraceReason>
ReasonsOf(const std::vector<LogRecord>& aRecords)
{
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const auto& record : aRecords) {
    for (const auto& [event, kind, key] : kReasons) {
      if (record.mEvent == event) {
        const auto reason = DetailOf(record, key);
        ++counts[{ kind, reason.empty() ? "unknown" : reason }];
      }
    }
  }
  std::vector<TraceReason> reasons;
  reasons.reserve(counts.size());
  for (const auto& [name, count] : counts) {
    reasons.push_back({ name.first, name.second, count });
  }
  return reasons;
}

bool
HasEvent(const std::vector<LogRecord>& aRecords, const char* aEvent)
{
  return std::any_of(aRecords.begin(), aRecords.end(), [&](const LogRecord& aRecord) {
    return aRecord.mEvent == aEvent;
  });
}

/// @returns what is missing of a job's records.
std::string
GapOf(const std::vector<LogRecord>& aRecords)
{
  if (!HasEvent(aRecords, "job.received")) {
    const bool wasRefused =
      HasEvent(aRecords, "call.refused") || HasEvent(aRecords, "call.given_up");
    return wasRefused ? "no owner received the job"
                      : "no log of the owner that received the job was given";
  }
  if (HasEvent(aRecords, "job.ended") || HasEvent(aRecords, "job.refused")) {
    return {};
  }
  return HasEvent(aRecords, "job.accepted")
           ? "the job was open when the logs end, or a log of a later owner is missing"
           : "the job was received and neither accepted nor refused: its caller was told that the "
             "outcome is uncertain, or a log is missing";
}

} // namespace

std::optional<JobTrace>
TraceJob(const std::string& aJob, std::vector<LogRecord> aRecords)
{
  std::stable_sort(
    aRecords.begin(), aRecords.end(), [](const LogRecord& aLeft, const LogRecord& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  JobTrace trace;
  trace.mJob = aJob;
  std::vector<LogRecord> ofJob;
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(ofJob),
               [&](const LogRecord& aRecord) { return IsOfJob(aRecord, aJob); });
  if (ofJob.empty()) {
    return std::nullopt;
  }
  const auto from = ofJob.front().mAt - kContextTime;
  const auto until = ofJob.back().mAt + kContextTime;
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(trace.mRecords),
               [&](const LogRecord& aRecord) {
                 return IsOfJob(aRecord, aJob) ||
                        (IsOfCell(aRecord) && from <= aRecord.mAt && aRecord.mAt <= until);
               });
  for (const auto& record : ofJob) {
    if (record.mEvent == "job.ended") {
      trace.mOutcome = DetailOf(record, "state");
    }
  }
  trace.mStages = StagesOf(ofJob);
  trace.mReasons = ReasonsOf(ofJob);
  trace.mGap = GapOf(ofJob);
  return trace;
}

} // namespace by
