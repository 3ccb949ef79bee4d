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

/// One step: tasks that are alike.
class JobStep
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How many tasks it has.
    std::uint32_t mCount{ 0 };
    /// What each task takes.
    Resources mDemand{};
    /// Rough time that one task takes.
    Time mEstimate{};
    /// Earlier steps whose tasks must all be done first, from 0.
    std::vector<std::uint32_t> mAfter{};
    /// Whether its tasks checkpoint their progress.
    bool mCheckpointing{ false };
    /// Whether its tasks work only while all of them are present, and end together.
    bool mGang{ false };
    /// Whether its tasks run slower when spread over several racks.
    bool mSameRack{ false };
    /// A label that the worker must have; empty for none.
    std::string mRequiredLabel{};
    /// The rack that holds its data; empty for none.
    RackId mDataRack{};
    /// Tasks of the step that one worker may run at once; zero for any number.
    std::uint32_t mSpreadLimit{ 0 };
    /// Whether copies of a task may run side by side.
    bool mSpeculative{ false };
    /// Whether its tasks run until the job is cancelled.
    bool mLongRunning{ false };
    /// What its tasks run; tasks of one image behave alike.
    std::string mImage{};
    /// Bound on the tail of response times of a long-running task; zero for none.
    Time mTailTarget{};
    /// Whether its tasks use only processor time that others leave idle.
    bool mScavenging{ false };
    /// Long-running tasks that the system may take down at the same time.
    std::uint32_t mDisruptionBudget{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobStep() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobStep> Create(Fields aFields);

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How many tasks it has.
  std::uint32_t Count() const { return mFields.mCount; }

  /// What each task takes.
  const Resources& Demand() const { return mFields.mDemand; }
  /// @returns this value with another Demand.
  [[nodiscard]] JobStep WithDemand(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mDemand = std::move(aValue);
    return copy;
  }

  /// Rough time that one task takes.
  Time Estimate() const { return mFields.mEstimate; }
  /// @returns this value with another Estimate.
  [[nodiscard]] JobStep WithEstimate(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mEstimate = std::move(aValue);
    return copy;
  }

  /// Earlier steps whose tasks must all be done first, from 0.
  const std::vector<std::uint32_t>& After() const { return mFields.mAfter; }
  /// @returns this value with another After.
  [[nodiscard]] JobStep WithAfter(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAfter = std::move(aValue);
    return copy;
  }

  /// Whether its tasks checkpoint their progress.
  bool Checkpointing() const { return mFields.mCheckpointing; }
  /// @returns this value with another Checkpointing.
  [[nodiscard]] JobStep WithCheckpointing(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpointing = std::move(aValue);
    return copy;
  }

  /// Whether its tasks work only while all of them are present, and end together.
  bool Gang() const { return mFields.mGang; }
  /// @returns this value with another Gang.
  [[nodiscard]] JobStep WithGang(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGang = std::move(aValue);
    return copy;
  }

  /// Whether its tasks run slower when spread over several racks.
  bool SameRack() const { return mFields.mSameRack; }
  /// @returns this value with another SameRack.
  [[nodiscard]] JobStep WithSameRack(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mSameRack = std::move(aValue);
    return copy;
  }

  /// A label that the worker must have; empty for none.
  const std::string& RequiredLabel() const { return mFields.mRequiredLabel; }
  /// @returns this value with another RequiredLabel.
  [[nodiscard]] JobStep WithRequiredLabel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequiredLabel = std::move(aValue);
    return copy;
  }

  /// The rack that holds its data; empty for none.
  const RackId& DataRack() const { return mFields.mDataRack; }
  /// @returns this value with another DataRack.
  [[nodiscard]] JobStep WithDataRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mDataRack = std::move(aValue);
    return copy;
  }

  /// Tasks of the step that one worker may run at once; zero for any number.
  std::uint32_t SpreadLimit() const { return mFields.mSpreadLimit; }
  /// @returns this value with another SpreadLimit.
  [[nodiscard]] JobStep WithSpreadLimit(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpreadLimit = std::move(aValue);
    return copy;
  }

  /// Whether copies of a task may run side by side.
  bool Speculative() const { return mFields.mSpeculative; }
  /// @returns this value with another Speculative.
  [[nodiscard]] JobStep WithSpeculative(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpeculative = std::move(aValue);
    return copy;
  }

  /// Whether its tasks run until the job is cancelled.
  bool LongRunning() const { return mFields.mLongRunning; }
  /// @returns this value with another LongRunning.
  [[nodiscard]] JobStep WithLongRunning(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLongRunning = std::move(aValue);
    return copy;
  }

  /// What its tasks run; tasks of one image behave alike.
  const std::string& Image() const { return mFields.mImage; }
  /// @returns this value with another Image.
  [[nodiscard]] JobStep WithImage(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mImage = std::move(aValue);
    return copy;
  }

  /// Bound on the tail of response times of a long-running task; zero for none.
  Time TailTarget() const { return mFields.mTailTarget; }
  /// @returns this value with another TailTarget.
  [[nodiscard]] JobStep WithTailTarget(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mTailTarget = std::move(aValue);
    return copy;
  }

  /// Whether its tasks use only processor time that others leave idle.
  bool Scavenging() const { return mFields.mScavenging; }
  /// @returns this value with another Scavenging.
  [[nodiscard]] JobStep WithScavenging(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mScavenging = std::move(aValue);
    return copy;
  }

  /// Long-running tasks that the system may take down at the same time.
  std::uint32_t DisruptionBudget() const { return mFields.mDisruptionBudget; }
  /// @returns this value with another DisruptionBudget.
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
