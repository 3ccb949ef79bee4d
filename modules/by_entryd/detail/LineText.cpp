#include "by_entryd/detail/LineText.h"

#include <array>
#include <cstddef>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "absl/strings/str_cat.h"

namespace by::detail {

namespace {

constexpr std::size_t kBytes = 256;

/// Which bytes stand for themselves in a text of JSON.
constexpr std::array<bool, kBytes> kIsPlain = [] {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  std::array<bool, kBytes> isPlain{};
  for (unsigned char byte = kFirstPrintable; byte < kDelete; ++byte) {
    isPlain[byte] = byte != '"' && byte != '\\';
  }
  return isPlain;
}();

bool
IsPlain(const std::string& aText)
{
  // No early exit: nearly every text is plain.
  bool isPlain = true;
  for (const char character : aText) {
    isPlain &= kIsPlain[static_cast<unsigned char>(character)];
  }
  return isPlain;
}

void
AppendQuoted(std::string& aOut, const std::string& aText)
{
  if (IsPlain(aText)) {
    aOut.push_back('"');
    aOut.append(aText);
    aOut.push_back('"');
  } else {
    aOut.append(boost::json::serialize(boost::json::string(aText)));
  }
}

} // namespace

void
AppendLine(std::string& aOut, Time aAt, const std::string& aNode, const LogLine& aLine)
{
  absl::StrAppend(&aOut, R"({"at":)", aAt.Milliseconds(), R"(,"node":)");
  AppendQuoted(aOut, aNode);
  absl::StrAppend(&aOut, R"(,"event":)");
  AppendQuoted(aOut, aLine.Event());
  absl::StrAppend(&aOut, R"(,"subject":)");
  AppendQuoted(aOut, aLine.Subject());
  absl::StrAppend(&aOut, R"(,"detail":)");
  AppendQuoted(aOut, aLine.Detail());
  aOut.push_back('}');
}

} // namespace by::detail
