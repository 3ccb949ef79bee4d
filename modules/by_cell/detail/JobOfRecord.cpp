#include "by_cell/detail/JobOfRecord.h"

#include <variant>

namespace by::detail {

const std::string*
JobOfRecord(const KeyedRecord& aRecord)
{
  if (!aRecord.Record()) {
    return nullptr;
  }
  const auto& body = aRecord.Record()->Body();
  if (const auto* job = std::get_if<Job>(&body)) {
    return &job->Id();
  }
  if (const auto* occurrence = std::get_if<OccurrenceProgress>(&body)) {
    return &occurrence->Job();
  }
  if (const auto* crashes = std::get_if<TaskCrashes>(&body)) {
    return &crashes->Job();
  }
  if (const auto* lapses = std::get_if<TaskLapses>(&body)) {
    return &lapses->Job();
  }
  if (const auto* team = std::get_if<JobTeam>(&body)) {
    return &team->Job();
  }
  const auto* task = std::get_if<TaskRecord>(&body);
  return task == nullptr ? nullptr : &task->Job();
}

} // namespace by::detail
