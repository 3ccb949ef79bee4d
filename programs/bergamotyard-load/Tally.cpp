#include "Tally.h"

#include "absl/strings/str_cat.h"

#include "by_json/by_json.h"
#include "by_json/generated/requests_json.h"

namespace by::load {

namespace {

constexpr std::int64_t kFirstError = 400;

Verdict
JudgeAnswer(Tally& aTally, const LoadRequest& aRequest, const Answer& aAnswer, bool aLostBefore)
{
  if (aAnswer.Outcome() != Outcome::Answered) {
    ++aTally.mReasons[std::string(ToString(aAnswer.Reason()))];
  }
  if (aAnswer.Outcome() == Outcome::Unknown) {
    return Verdict::Unknown;
  }
  if (aAnswer.Outcome() == Outcome::NotRun) {
    return aLostBefore ? Verdict::Unknown : Verdict::NotRun;
  }
  const auto expected = absl::StrCat(":", aRequest.mBody.Payload());
  if (std::string_view(aAnswer.Payload()).ends_with(expected)) {
    return Verdict::Answered;
  }
  aTally.mComplaints.push_back(
    absl::StrCat("label ", aRequest.mBody.Label(), " got the payload '", aAnswer.Payload(), "'"));
  return Verdict::Wrong;
}

/// Cuts "TEAM/LABEL/TASK" down to "TEAM/LABEL".
std::string
WithoutTask(const std::string& aRun)
{
  return aRun.substr(0, aRun.rfind('/'));
}

} // namespace

Verdict
Judge(Tally& aTally, const LoadRequest& aRequest, const HttpResult& aResult, bool aLostBefore)
{
  if (aResult.Outcome() != CallOutcome::Completed) {
    const bool mayHaveRun = aLostBefore || aResult.Outcome() == CallOutcome::Lost;
    ++aTally.mReasons[mayHaveRun ? "connection_lost" : "no_node_reached"];
    return mayHaveRun ? Verdict::Unknown : Verdict::NotRun;
  }
  const auto answer = ReadJsonText<Answer>(aResult.Body());
  if (answer.ok()) {
    return JudgeAnswer(aTally, aRequest, *answer, aLostBefore);
  }
  ++aTally.mReasons[absl::StrCat("status_", aResult.StatusCode())];
  if (aResult.StatusCode() >= kFirstError) {
    return aLostBefore ? Verdict::Unknown : Verdict::NotRun;
  }
  aTally.mComplaints.push_back(absl::StrCat("label ", aRequest.mBody.Label(), ": no answer in it"));
  return Verdict::Wrong;
}

void
Count(Tally& aTally,
      const LoadRequest& aRequest,
      const std::string& aTeam,
      Verdict aVerdict,
      bool aCallLost,
      bool aInWindow)
{
  ++aTally.mAll.mSubmitted;
  ++aTally.mAll.mEnds[aVerdict];
  if (aInWindow) {
    ++aTally.mWindow.mSubmitted;
    ++aTally.mWindow.mEnds[aVerdict];
  }
  if (!aRequest.mBody.Idempotent()) {
    auto& record = aTally.mLabels[absl::StrCat(aTeam, "/", aRequest.mBody.Label())];
    record.mVerdicts.insert(aVerdict);
    record.mCallLost = record.mCallLost || aCallLost;
  }
}

Broken
CompareWithRuns(Tally& aTally, const BackendCounters& aBefore, const BackendCounters& aAfter)
{
  Broken broken{ .mDoubled = aAfter.Doubled() - aBefore.Doubled(),
                 .mOvercommitted = aAfter.Overcommitted() - aBefore.Overcommitted() };
  std::map<std::string, std::int64_t> runs;
  for (const auto& run : aAfter.NonIdempotentRuns()) {
    const auto label = WithoutTask(run);
    if (aTally.mLabels.contains(label) && ++runs[label] == 2) {
      ++broken.mDoubled;
      aTally.mComplaints.push_back(absl::StrCat(label, " ran twice"));
    }
  }
  for (const auto& [label, record] : aTally.mLabels) {
    const bool isNotRun = !record.mCallLost && record.mVerdicts == std::set{ Verdict::NotRun };
    if (isNotRun && runs.contains(label)) {
      ++broken.mNotRunThatRan;
      aTally.mComplaints.push_back(absl::StrCat(label, " ran, and its caller was told not_run"));
    }
  }
  return broken;
}

std::int64_t
EndsOf(const Counts& aCounts, Verdict aVerdict)
{
  const auto it = aCounts.mEnds.find(aVerdict);
  return it == aCounts.mEnds.end() ? 0 : it->second;
}

} // namespace by::load
