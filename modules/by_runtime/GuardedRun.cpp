#include "by_runtime/GuardedRun.h"

#include <exception>

namespace by {

void
RunGuarded(boost::asio::io_context& aContext, const HandlerFailed& aFailed)
{
  for (;;) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      aFailed(error.what());
    }
  }
}

} // namespace by
