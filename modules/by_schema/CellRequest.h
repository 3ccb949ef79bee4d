#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobCallKind.h"
#include "by_schema/JobDefinition.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// A caller's request on its way to the owner.
class CellRequest
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Counts the calls of the asking node.
    std::uint64_t mCall{ 0 };
    /// What is asked.
    JobCallKind mKind{};
    /// The queue.
    QueuePolicy mQueue{};
    /// The job; empty to count.
    std::string mJob{};
    /// What a submission consists of.
    std::optional<JobDefinition> mDefinition{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellRequest() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellRequest> Create(Fields aFields)
  {
    return CellRequest(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Counts the calls of the asking node.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns this value with another Call.
  [[nodiscard]] CellRequest WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// What is asked.
  JobCallKind Kind() const { return mFields.mKind; }
  /// @returns this value with another Kind.
  [[nodiscard]] CellRequest WithKind(JobCallKind aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// The queue.
  const QueuePolicy& Queue() const { return mFields.mQueue; }
  /// @returns this value with another Queue.
  [[nodiscard]] CellRequest WithQueue(QueuePolicy aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueue = std::move(aValue);
    return copy;
  }

  /// The job; empty to count.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] CellRequest WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// What a submission consists of.
  const std::optional<JobDefinition>& Definition() const { return mFields.mDefinition; }
  /// @returns this value with another Definition.
  [[nodiscard]] CellRequest WithDefinition(std::optional<JobDefinition> aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefinition = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellRequest&, const CellRequest&) = default;
  friend auto operator<=>(const CellRequest&, const CellRequest&) = default;

private:
  explicit CellRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
