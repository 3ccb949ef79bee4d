#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "by_intents/by_intents.h"

namespace by::test {

/// A log that is folded as it is written; the test sets the epoch of the racks.
struct IntentFixture
{
  IntentTable mTable;
  ConfigDocument mConfig;
  std::uint64_t mEpoch{ 1 };
  Time mNow{ Time::FromSeconds(1000) };

  template<class Body>
  bool Append(Body aBody)
  {
    const auto record = LogRecord::Create({ .mBody = std::move(aBody) }).value();
    return ApplyIntentEntry(mTable,
                            LogEntry::Create({ .mAt = mNow, .mRecord = record }).value(),
                            { .mRackEpoch = mEpoch, .mConfig = &mConfig });
  }

  /// Overrides of a spec, which defaults to an idempotent batch of one task.
  struct Options
  {
    WorkClass mClass{ WorkClass::Batch };
    std::int64_t mTasks{ 1 };
    bool mIdempotent{ true };
    std::int64_t mAttempts{ 3 };
    std::int64_t mCpu{ 1000 };
    std::string mTeam{ "arreo" };
  };

  static IntentSpec Spec(const Options& aOptions)
  {
    return IntentSpec::Create(
             { .mName = "route-plan",
               .mTeam = TeamId(aOptions.mTeam),
               .mWorkClass = aOptions.mClass,
               .mTasks = aOptions.mTasks,
               .mResources =
                 Resources::Create({ .mCpuMillis = aOptions.mCpu, .mMemoryMb = 100, .mSlots = 1 })
                   .value(),
               .mMaxAttempts = aOptions.mAttempts,
               .mIdempotent = aOptions.mIdempotent,
               .mPayload = "plan" })
      .value();
  }

  Plan PlanFor(const std::string& aId, const Options& aOptions)
  {
    const std::vector<VmDescription> vms(
      64,
      VmDescription::Create(
        { .mVm = VmId("v"),
          .mCapacity =
            Resources::Create({ .mCpuMillis = 16000, .mMemoryMb = 32000, .mSlots = 8 }).value() })
        .value());
    return MakePlan(
      mTable, Spec(aOptions), IntentId(aId), vms, mConfig, mNow, Time::FromSeconds(60));
  }

  /// Plans an intent and confirms it.
  void PlanAndConfirm(const std::string& aId, const Options& aOptions)
  {
    Append(PlanFor(aId, aOptions));
    Confirm(aId, aOptions.mTeam);
  }

  bool Confirm(const std::string& aId, const std::string& aTeam = "arreo")
  {
    return Append(
      IntentConfirm::Create({ .mIntent = IntentId(aId), .mTeam = TeamId(aTeam) }).value());
  }

  bool Cancel(const std::string& aId)
  {
    return Append(
      IntentCancel::Create({ .mIntent = IntentId(aId), .mTeam = TeamId("arreo") }).value());
  }

  static TaskAssignment Assignment(const std::string& aId,
                                   std::int64_t aIndex,
                                   std::uint64_t aGeneration,
                                   const std::string& aRack = "r1")
  {
    return TaskAssignment::Create({ .mIntent = IntentId(aId),
                                    .mIndex = aIndex,
                                    .mGeneration = aGeneration,
                                    .mRack = RackId(aRack) })
      .value();
  }

  bool Assign(std::vector<TaskAssignment> aAssignments)
  {
    return Append(TaskAssignments::Create({ .mAssignments = std::move(aAssignments) }).value());
  }

  bool Report(const std::string& aId,
              std::int64_t aIndex,
              std::uint64_t aGeneration,
              TaskState aState,
              bool aReserved = false,
              const std::string& aRack = "r1",
              std::uint64_t aEpoch = 1)
  {
    const auto report = TaskReport::Create({ .mIntent = IntentId(aId),
                                             .mIndex = aIndex,
                                             .mGeneration = aGeneration,
                                             .mState = aState,
                                             .mReserved = aReserved,
                                             .mVm = VmId("v1") })
                          .value();
    return Append(
      TaskReports::Create({ .mRack = RackId(aRack), .mEpoch = aEpoch, .mReports = { report } })
        .value());
  }

  bool DecideGang(const std::string& aId, std::uint64_t aRound, bool aStart)
  {
    return Append(
      GangDecision::Create({ .mIntent = IntentId(aId), .mRound = aRound, .mStart = aStart })
        .value());
  }

  const FoldedIntent& Intent(const std::string& aId) const
  {
    return *FindIntent(mTable, IntentId(aId));
  }
  IntentState State(const std::string& aId) const { return Intent(aId).mProgress.State(); }
  const IntentTaskStatus& Task(const std::string& aId, std::size_t aIndex) const
  {
    return Intent(aId).mTasks[aIndex];
  }
  void AdvanceTime(Time aSpan) { mNow = mNow + aSpan; }
};

} // namespace by::test
