#pragma once

#include <cstdint>
#include <string>

namespace by {

/// @returns the key of the record of an accepted job.
std::string
JobRecordKey(const std::string& aJob);

/// @param aIndex the index of the task among the occurrence's tasks.
/// @returns the key of the record of a task's progress.
std::string
TaskRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex);

/// @param aIndex the index of the task among the occurrence's tasks.
/// @returns the key of the record of the crashes of workers under a task.
std::string
CrashRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex);

/// @param aIndex the index of the task among the occurrence's tasks.
/// @returns the key of the record of the runs that may have crashed their worker unseen.
std::string
LapseRecordKey(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aIndex);

/// @returns the key of the record of an occurrence's progress, which earlier versions wrote.
std::string
ProgressRecordKey(const std::string& aJob, std::uint32_t aOccurrence);

/// @returns the key of the record of the team that submitted a job.
std::string
TeamRecordKey(const std::string& aJob);

/// @returns the key of the record of how a job ended.
std::string
OutcomeRecordKey(const std::string& aJob);

/// @param aMachine the machine, or empty for the record of a completed wave.
/// @returns the key of the record of a machine's maintenance.
std::string
MaintenanceRecordKey(std::uint64_t aWave, const std::string& aMachine);

} // namespace by
