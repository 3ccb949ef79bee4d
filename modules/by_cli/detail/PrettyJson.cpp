#include "by_cli/detail/PrettyJson.h"

#include "absl/strings/str_cat.h"

#include "by_json/JsonText.h"

namespace by::detail {

namespace {

std::string
PrettyList(const boost::json::array& aList)
{
  std::string text = "[";
  const char* separator = "\n    ";
  for (const auto& item : aList) {
    absl::StrAppend(&text, separator, WriteJson(item));
    separator = ",\n    ";
  }
  return absl::StrCat(text, aList.empty() ? "]" : "\n  ]");
}

} // namespace

std::string
PrettyJson(const boost::json::value& aValue)
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return WriteJson(aValue);
  }
  std::string text = "{";
  const char* separator = "\n  ";
  for (const auto& member : *object) {
    const auto* list = member.value().if_array();
    const auto key = WriteJson(boost::json::string(member.key()));
    const auto value = list == nullptr ? WriteJson(member.value()) : PrettyList(*list);
    absl::StrAppend(&text, separator, key, ": ", value);
    separator = ",\n  ";
  }
  return text + "\n}";
}

} // namespace by::detail
