#include "by_cli/detail/ReadLogRecord.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/json/parse.hpp>

namespace by::detail {

namespace {

/// How each record begins.
constexpr std::string_view kRecordStart = R"({"at":)";

/// How the events of the cell begin.
constexpr std::array<std::string_view, 5> kCellEvents{ R"("event":"owner.)",
                                                       R"("event":"cell.)",
                                                       R"("event":"store.)",
                                                       R"("event":"node.)",
                                                       R"("event":"placement.missed")" };

std::string
TextOf(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains({ aKey.data(), aKey.size() });
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

} // namespace

bool
MayBeOfCell(std::string_view aLine)
{
  return std::any_of(kCellEvents.begin(), kCellEvents.end(), [&](std::string_view aStart) {
    return aLine.find(aStart) != std::string_view::npos;
  });
}

absl::StatusOr<LogRecord>
ReadLogRecord(std::string_view aLine)
{
  const auto first = aLine.find(kRecordStart);
  if (first == std::string_view::npos) {
    return absl::NotFoundError("the line holds no record");
  }
  const auto text = aLine.substr(first);
  boost::system::error_code error;
  const auto value = boost::json::parse({ text.data(), text.size() }, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* at = object == nullptr ? nullptr : object->if_contains("at");
  if (at == nullptr || !at->is_int64()) {
    return absl::DataLossError("the record can't be read");
  }
  return LogRecord{ .mAt = Time::FromMilliseconds(at->as_int64()),
                    .mNode = TextOf(*object, "node"),
                    .mEvent = TextOf(*object, "event"),
                    .mSubject = TextOf(*object, "subject"),
                    .mDetail = TextOf(*object, "detail") };
}

} // namespace by::detail
