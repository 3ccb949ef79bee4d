#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LoadRequest.h"
#include "by_schema/BackendCounters.h"
#include "by_schema/HttpResult.h"

namespace by::load {

/// What became of one submission.
enum class Verdict
{
  Answered,
  NotRun,
  Unknown,
  Wrong,
};

/// Numbers of submissions by their end.
struct Counts
{
  std::int64_t mSubmitted{ 0 };
  std::map<Verdict, std::int64_t> mEnds;
};

/// What is known of one non-idempotent label.
struct LabelRecord
{
  std::set<Verdict> mVerdicts;
  bool mCallLost{ false };
};

/// Everything that a run of the load tool counts.
struct Tally
{
  Counts mAll;
  Counts mWindow;
  /// Calls that broke and were sent again through another node.
  std::int64_t mSentAgain{ 0 };
  std::map<std::string, std::int64_t> mReasons;
  /// Non-idempotent work by "TEAM/LABEL".
  std::map<std::string, LabelRecord> mLabels;
  std::vector<std::string> mComplaints;
};

/// What the backend stand-ins saw of broken promises.
struct Broken
{
  std::int64_t mDoubled{ 0 };
  std::int64_t mOvercommitted{ 0 };
  std::int64_t mNotRunThatRan{ 0 };
};

/// Judges the last call of a submission.
/// @param aLostBefore whether an earlier call of it may have reached a node.
Verdict
Judge(Tally& aTally, const LoadRequest& aRequest, const HttpResult& aResult, bool aLostBefore);

/// Counts the end of a submission.
void
Count(Tally& aTally,
      const LoadRequest& aRequest,
      const std::string& aTeam,
      Verdict aVerdict,
      bool aCallLost,
      bool aInWindow);

/// Compares what callers were told with what ran.
Broken
CompareWithRuns(Tally& aTally, const BackendCounters& aBefore, const BackendCounters& aAfter);

/// @returns one number, zero where no submission ended so.
std::int64_t
EndsOf(const Counts& aCounts, Verdict aVerdict);

} // namespace by::load
