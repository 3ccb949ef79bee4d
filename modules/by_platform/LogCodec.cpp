#include "by_platform/LogCodec.h"

#include <utility>

#include "by_json/by_json.h"
#include "by_json/generated/platform_json.h"

namespace by {

AppendBody
EncodeAppend(const std::vector<LogRecord>& aRecords)
{
  std::vector<RawRecord> raw;
  raw.reserve(aRecords.size());
  for (const auto& record : aRecords) {
    raw.push_back(RawRecord::Create({ .mData = WriteJsonText(record, Secrets::Shown) }).value());
  }
  return AppendBody::Create({ .mRecords = std::move(raw) }).value();
}

absl::StatusOr<LogRecord>
DecodeRecord(const RawRecord& aRaw)
{
  return ReadJsonText<LogRecord>(aRaw.Data());
}

LogRead
DecodeRead(const ReadResult& aResult)
{
  std::vector<LogEntry> entries;
  entries.reserve(aResult.Records().size());
  for (const auto& raw : aResult.Records()) {
    entries.push_back(LogEntry::Create({ .mOffset = raw.Offset(),
                                         .mAt = raw.At(),
                                         .mRecord = DecodeRecord(raw).value_or(LogRecord()) })
                        .value());
  }
  return LogRead::Create({ .mFirstAvailable = aResult.FirstAvailable(),
                           .mNextOffset = aResult.NextOffset(),
                           .mEntries = std::move(entries) })
    .value();
}

} // namespace by
