#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace by {

/// Told what a handler threw.
using HandlerFailed = std::function<void(const std::string&)>;

/// Runs a context until it is stopped. What a handler throws ends that handler only.
void
RunGuarded(boost::asio::io_context& aContext, const HandlerFailed& aFailed);

} // namespace by
