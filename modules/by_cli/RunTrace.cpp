#include "by_cli/RunTrace.h"

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "by_cli/FormatResult.h"
#include "by_cli/FormatTrace.h"
#include "by_cli/detail/ReadLogRecord.h"
#include "by_trace/by_trace.h"

namespace by {

namespace {

/// What was read of the logs.
struct LogScan
{
  std::vector<LogRecord> mRecords;
  std::uint64_t mLines{ 0 };
  /// Lines that begin like a record and can't be read, such as a truncated last line.
  std::uint64_t mUnreadable{ 0 };
};

/// Keeps the records of a job and of the cell. A line with neither the job's name nor an event
/// of the cell is not decoded, since decoding takes most of the time.
void
ScanLines(std::istream& aStream, const std::string& aJob, LogScan& aScan)
{
  std::string line;
  while (std::getline(aStream, line)) {
    ++aScan.mLines;
    if (!absl::StrContains(line, aJob) && !detail::MayBeOfCell(line)) {
      continue;
    }
    auto record = detail::ReadLogRecord(line);
    if (!record.ok()) {
      aScan.mUnreadable += absl::IsDataLoss(record.status()) ? 1 : 0;
    } else if (IsOfJob(*record, aJob) || IsOfCell(*record)) {
      aScan.mRecords.push_back(*std::move(record));
    }
  }
}

absl::Status
ScanFile(const std::string& aFile, const std::string& aJob, LogScan& aScan)
{
  if (aFile == "-") {
    ScanLines(std::cin, aJob, aScan);
    return absl::OkStatus();
  }
  std::ifstream file(aFile, std::ios::binary);
  if (!file) {
    return absl::InvalidArgumentError(absl::StrCat(aFile, ": can't be read"));
  }
  ScanLines(file, aJob, aScan);
  return absl::OkStatus();
}

} // namespace

ToolOutput
RunTrace(const TraceCommand& aCommand)
{
  LogScan scan;
  for (const auto& file : aCommand.Files()) {
    if (const auto status = ScanFile(file, aCommand.Job(), scan); !status.ok()) {
      return FormatFault(status);
    }
  }
  std::string notes;
  if (scan.mUnreadable > 0) {
    notes = absl::StrCat("bergamotyard: ", scan.mUnreadable, " lines can't be read\n");
  }
  const auto trace = TraceJob(aCommand.Job(), std::move(scan.mRecords));
  if (!trace) {
    absl::StrAppend(
      &notes, "bergamotyard: no line of ", scan.mLines, " is of job ", aCommand.Job(), "\n");
    return ToolOutput::Create({ .mExitCode = ExitCode::Refused, .mErr = std::move(notes) }).value();
  }
  auto text = aCommand.Json() ? FormatTraceJson(*trace) : FormatTrace(*trace, aCommand.Brief());
  return ToolOutput::Create({ .mOut = std::move(text), .mErr = std::move(notes) }).value();
}

} // namespace by
