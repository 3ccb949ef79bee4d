#include "by_json/StrictJson.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

using boost::json::string_view;
using Error = boost::json::error_code;

// NOLINTBEGIN(readability-identifier-naming): the names are those that Boost.JSON calls.

/// Takes what a parser finds, and keeps the keys of the objects that are open.
struct KeyHandler
{
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_array_begin(Error&) { return true; }
  bool on_array_end(std::size_t, Error&) { return true; }
  bool on_object_begin(Error&)
  {
    mOpen.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, Error&)
  {
    mOpen.pop_back();
    return true;
  }
  bool on_string_part(string_view, std::size_t, Error&) { return true; }
  bool on_string(string_view, std::size_t, Error&) { return true; }
  bool on_key_part(string_view aPart, std::size_t, Error&)
  {
    mKey.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(string_view aPart, std::size_t, Error& aError)
  {
    mKey.append(aPart.data(), aPart.size());
    if (!mOpen.back().insert(mKey).second) {
      mRepeated = mKey;
      aError = boost::json::error::syntax;
      return false;
    }
    mKey.clear();
    return true;
  }
  bool on_number_part(string_view, Error&) { return true; }
  bool on_int64(std::int64_t, string_view, Error&) { return true; }
  bool on_uint64(std::uint64_t, string_view, Error&) { return true; }
  bool on_double(double, string_view, Error&) { return true; }
  bool on_bool(bool, Error&) { return true; }
  bool on_null(Error&) { return true; }
  bool on_comment_part(string_view, Error&) { return true; }
  bool on_comment(string_view, Error&) { return true; }

  std::vector<std::set<std::string>> mOpen;
  std::string mKey;
  std::string mRepeated;
};

// NOLINTEND(readability-identifier-naming)

} // namespace

absl::StatusOr<boost::json::value>
ParseStrictJson(std::string_view aText)
{
  auto parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed;
  }
  boost::json::parse_options options;
  options.allow_comments = true;
  boost::json::basic_parser<KeyHandler> parser(options);
  Error ec;
  parser.write_some(false, aText.data(), aText.size(), ec);
  if (ec) {
    return absl::InvalidArgumentError(
      absl::StrCat(parser.handler().mRepeated, ": the key is repeated"));
  }
  return parsed;
}

} // namespace by
