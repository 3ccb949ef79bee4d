#include "by_jobs/RecordKeys.h"

#include "absl/strings/str_cat.h"

namespace by {

std::string
JobRecordKey(const std::string& aJob)
{
  return absl::StrCat("job/", aJob);
}

std::string
TaskRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex)
{
  return absl::StrCat("task/", aJob, "/", aOccurrence, "/", aIndex);
}

std::string
CrashRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex)
{
  return absl::StrCat("crash/", aJob, "/", aOccurrence, "/", aIndex);
}

std::string
LapseRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex)
{
  return absl::StrCat("lapse/", aJob, "/", aOccurrence, "/", aIndex);
}

std::string
ProgressRecordKey(const std::string& aJob, std::uint32_t aOccurrence)
{
  return absl::StrCat("progress/", aJob, "/", aOccurrence);
}

std::string
TeamRecordKey(const std::string& aJob)
{
  return absl::StrCat("team/", aJob);
}

std::string
OutcomeRecordKey(const std::string& aJob)
{
  return absl::StrCat("outcome/", aJob);
}

std::string
MaintenanceRecordKey(std::uint64_t aWave, const std::string& aMachine)
{
  return absl::StrCat("upkeep/", aWave, "/", aMachine);
}

} // namespace by
