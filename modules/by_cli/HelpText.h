#pragma once

#include <string>
#include <string_view>

namespace by {

/// Says how the tool, or one command of it, is called.
/// @param aTopic a command such as "config check"; empty for all.
/// @returns the text, which ends with a new line.
std::string
HelpText(std::string_view aTopic);

} // namespace by
