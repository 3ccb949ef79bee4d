#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// Group of identical tasks within a job.
class JobStep
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of tasks.
    std::uint32_t mCount{ 0 };
    /// Resources that each task requests.
    Resources mDemand{};
    /// Rough run time of one task.
    Time mEstimate{};
    /// Indexes of the earlier steps, from 0, that must be complete before this step starts.
    std::vector<std::uint32_t> mAfter{};
    /// Whether its tasks checkpoint their progress.
    bool mCheckpointing{ false };
    /// Whether the step is a gang: its tasks work only while all of them are present, and end
    /// together.
    bool mGang{ false };
    /// Whether its tasks run slower when they are spread over several racks.
    bool mSameRack{ false };
    /// Label that a worker must have; empty for none.
    std::string mRequiredLabel{};
    /// Rack that holds the data of its tasks; empty for none.
    RackId mDataRack{};
    /// Maximum number of tasks of the step on one worker at a time; zero for no limit.
    std::uint32_t mSpreadLimit{ 0 };
    /// Whether copies of a task may run concurrently.
    bool mSpeculative{ false };
    /// Whether its tasks run until the job is cancelled.
    bool mLongRunning{ false };
    /// Program that its tasks run; tasks of the same image behave alike.
    std::string mImage{};
    /// Upper limit for the tail response time of a long-running task; zero for none.
    Time mTailTarget{};
    /// Whether its tasks use only processor time that other tasks leave idle.
    bool mScavenging{ false };
    /// Maximum number of its long-running tasks that the system may take down at the same time.
    std::uint32_t mDisruptionBudget{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobStep() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobStep> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of tasks.
  std::uint32_t Count() const { return mFields.mCount; }

  /// Resources that each task requests.
  const Resources& Demand() const { return mFields.mDemand; }
  /// @returns a copy of this value with another Demand.
  [[nodiscard]] JobStep WithDemand(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mDemand = std::move(aValue);
    return copy;
  }

  /// Rough run time of one task.
  Time Estimate() const { return mFields.mEstimate; }
  /// @returns a copy of this value with another Estimate.
  [[nodiscard]] JobStep WithEstimate(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mEstimate = std::move(aValue);
    return copy;
  }

  /// Indexes of the earlier steps, from 0, that must be complete before this step starts.
  const std::vector<std::uint32_t>& After() const { return mFields.mAfter; }
  /// @returns a copy of this value with another After.
  [[nodiscard]] JobStep WithAfter(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAfter = std::move(aValue);
    return copy;
  }

  /// Whether its tasks checkpoint their progress.
  bool Checkpointing() const { return mFields.mCheckpointing; }
  /// @returns a copy of this value with another Checkpointing.
  [[nodiscard]] JobStep WithCheckpointing(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpointing = std::move(aValue);
    return copy;
  }

  /// Whether the step is a gang: its tasks work only while all of them are present, and end
  /// together.
  bool Gang() const { return mFields.mGang; }
  /// @returns a copy of this value with another Gang.
  [[nodiscard]] JobStep WithGang(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGang = std::move(aValue);
    return copy;
  }

  /// Whether its tasks run slower when they are spread over several racks.
  bool SameRack() const { return mFields.mSameRack; }
  /// @returns a copy of this value with another SameRack.
  [[nodiscard]] JobStep WithSameRack(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mSameRack = std::move(aValue);
    return copy;
  }

  /// Label that a worker must have; empty for none.
  const std::string& RequiredLabel() const { return mFields.mRequiredLabel; }
  /// @returns a copy of this value with another RequiredLabel.
  [[nodiscard]] JobStep WithRequiredLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequiredLabel = std::move(aValue);
    return copy;
  }

  /// Rack that holds the data of its tasks; empty for none.
  const RackId& DataRack() const { return mFields.mDataRack; }
  /// @returns a copy of this value with another DataRack.
  [[nodiscard]] JobStep WithDataRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mDataRack = std::move(aValue);
    return copy;
  }

  /// Maximum number of tasks of the step on one worker at a time; zero for no limit.
  std::uint32_t SpreadLimit() const { return mFields.mSpreadLimit; }
  /// @returns a copy of this value with another SpreadLimit.
  [[nodiscard]] JobStep WithSpreadLimit(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpreadLimit = std::move(aValue);
    return copy;
  }

  /// Whether copies of a task may run concurrently.
  bool Speculative() const { return mFields.mSpeculative; }
  /// @returns a copy of this value with another Speculative.
  [[nodiscard]] JobStep WithSpeculative(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpeculative = std::move(aValue);
    return copy;
  }

  /// Whether its tasks run until the job is cancelled.
  bool LongRunning() const { return mFields.mLongRunning; }
  /// @returns a copy of this value with another LongRunning.
  [[nodiscard]] JobStep WithLongRunning(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLongRunning = std::move(aValue);
    return copy;
  }

  /// Program that its tasks run; tasks of the same image behave alike.
  const std::string& Image() const { return mFields.mImage; }
  /// @returns a copy of this value with another Image.
  [[nodiscard]] JobStep WithImage(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mImage = std::move(aValue);
    return copy;
  }

  /// Upper limit for the tail response time of a long-running task; zero for none.
  Time TailTarget() const { return mFields.mTailTarget; }
  /// @returns a copy of this value with another TailTarget.
  [[nodiscard]] JobStep WithTailTarget(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTailTarget = std::move(aValue);
    return copy;
  }

  /// Whether its tasks use only processor time that other tasks leave idle.
  bool Scavenging() const { return mFields.mScavenging; }
  /// @returns a copy of this value with another Scavenging.
  [[nodiscard]] JobStep WithScavenging(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mScavenging = std::move(aValue);
    return copy;
  }

  /// Maximum number of its long-running tasks that the system may take down at the same time.
  std::uint32_t DisruptionBudget() const { return mFields.mDisruptionBudget; }
  /// @returns a copy of this value with another DisruptionBudget.
  [[nodiscard]] JobStep WithDisruptionBudget(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDisruptionBudget = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobStep&, const JobStep&) = default;
  friend auto operator<=>(const JobStep&, const JobStep&) = default;

private:
  explicit JobStep(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
