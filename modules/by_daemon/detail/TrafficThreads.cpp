#include "by_daemon/detail/TrafficThreads.h"

namespace by::detail {

TrafficThreads::TrafficThreads(std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    mContexts.push_back(std::make_unique<boost::asio::io_context>(1));
    mGuards.push_back(boost::asio::make_work_guard(*mContexts.back()));
  }
}

TrafficThreads::~TrafficThreads()
{
  Stop();
  mGuards.clear();
  // Handlers of the later contexts may hold sockets of the first.
  while (!mContexts.empty()) {
    mContexts.pop_back();
  }
}

void
TrafficThreads::Start(const HandlerFailed& aFailed)
{
  for (const auto& context : mContexts) {
    mThreads.emplace_back([&context = *context, aFailed] { RunGuarded(context, aFailed); });
  }
}

void
TrafficThreads::Stop()
{
  for (const auto& context : mContexts) {
    context->stop();
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

std::vector<boost::asio::io_context*>
TrafficThreads::All() const
{
  std::vector<boost::asio::io_context*> all;
  for (const auto& context : mContexts) {
    all.push_back(context.get());
  }
  return all;
}

} // namespace by::detail
