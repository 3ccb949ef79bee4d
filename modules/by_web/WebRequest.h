#pragma once

#include <map>
#include <string>

namespace by {

/// One call as the server received it.
struct WebRequest
{
  /// "GET", "POST" or another method.
  std::string mMethod;
  /// The path without the query.
  std::string mPath;
  /// The query's keys with their values, not decoded.
  std::map<std::string, std::string> mQuery;
  /// The host that the caller named; empty for none.
  std::string mHost;
  /// The headers whose names the server was told to keep.
  std::map<std::string, std::string> mHeaders;
  /// The whole body.
  std::string mBody;

  friend bool operator==(const WebRequest&, const WebRequest&) = default;
  friend auto operator<=>(const WebRequest&, const WebRequest&) = default;
};

} // namespace by
