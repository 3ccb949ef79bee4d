#pragma once

#include <string>

#include <boost/json/value.hpp>

namespace by::detail {

/// Writes JSON for people: the members of the outermost object and of its lists one a line.
std::string
PrettyJson(const boost::json::value& aValue);

} // namespace by::detail
