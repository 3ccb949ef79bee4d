#include "by_json/JsonText.h"

#include <algorithm>

#include <boost/json/parse_options.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

constexpr std::size_t kMaxDepth = 32;

std::string
PlaceInText(std::string_view aText, std::size_t aOffset)
{
  const auto before = aText.substr(0, std::min(aOffset, aText.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const auto start = before.rfind('\n');
  const auto column = start == std::string_view::npos ? before.size() + 1 : before.size() - start;
  return absl::StrCat("line ", line, ", column ", column);
}

} // namespace

absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText)
{
  boost::json::parse_options options;
  options.allow_comments = true;
  options.max_depth = kMaxDepth;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code ec;
  auto n = parser.write_some(aText.data(), aText.size(), ec);
  if (!ec && n < aText.size()) {
    ec = boost::json::error::extra_data;
  }
  if (!ec) {
    parser.finish(ec);
  }
  if (ec) {
    return absl::InvalidArgumentError(absl::StrCat(PlaceInText(aText, n), ": ", ec.message()));
  }
  return parser.release();
}

std::string
WriteJson(const boost::json::value& aValue)
{
  return boost::json::serialize(aValue);
}

} // namespace by
