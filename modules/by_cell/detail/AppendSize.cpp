#include "by_cell/detail/AppendSize.h"

#include <utility>
#include <variant>

#include "by_schema/CellRecord.h"

namespace by::detail {

namespace {

/// Upper estimates of what the encoding adds to the texts of a record. [bytes]
constexpr std::size_t kRecordOverhead = 160;
constexpr std::size_t kJobOverhead = 400;
constexpr std::size_t kStepOverhead = 160;
constexpr std::size_t kTaskOverhead = 120;

std::size_t
SizeOf(const Job& aJob)
{
  const auto& definition = aJob.Definition();
  const auto& queue = aJob.Queue();
  std::size_t size = kJobOverhead + aJob.Id().size() + definition.Payload().size() +
                     queue.Host().size() + queue.PathPrefix().size() + queue.Pool().size();
  for (const auto& step : definition.Steps()) {
    size += kStepOverhead + step.RequiredLabel().size() + step.DataRack().Text().size() +
            step.Image().size() + step.After().size() * sizeof(std::uint32_t);
  }
  return size;
}

std::size_t
SizeOf(const TaskProgress& aProgress)
{
  return kTaskOverhead + aProgress.Worker().size() + aProgress.Checkpoint().size() +
         aProgress.FailedRuns().size() * sizeof(std::uint32_t);
}

} // namespace

std::size_t
EstimateRecordSize(const KeyedRecord& aRecord)
{
  auto size = kRecordOverhead + aRecord.Key().size();
  if (!aRecord.Record()) {
    return size;
  }
  const auto& body = aRecord.Record()->Body();
  if (const auto* job = std::get_if<Job>(&body)) {
    size += SizeOf(*job);
  } else if (const auto* task = std::get_if<TaskRecord>(&body)) {
    size += task->Job().size() + SizeOf(task->Progress());
  } else if (const auto* crashes = std::get_if<TaskCrashes>(&body)) {
    size += kTaskOverhead + crashes->Job().size() + crashes->Runs().size() * sizeof(std::uint32_t);
  } else if (const auto* lapses = std::get_if<TaskLapses>(&body)) {
    size += kTaskOverhead + lapses->Job().size() + lapses->Runs().size() * sizeof(std::uint32_t);
  }
  return size;
}

std::vector<std::vector<KeyedRecord>>
SplitRecords(std::vector<KeyedRecord> aRecords, std::size_t aLimit)
{
  std::vector<std::vector<KeyedRecord>> parts;
  std::size_t size = 0;
  for (auto& record : aRecords) {
    const auto added = EstimateRecordSize(record);
    if (parts.empty() || size + added > aLimit) {
      parts.emplace_back();
      size = 0;
    }
    size += added;
    parts.back().push_back(std::move(record));
  }
  return parts;
}

} // namespace by::detail
