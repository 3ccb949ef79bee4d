#pragma once

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "by_runtime/GuardedRun.h"

namespace by::detail {

/// The threads that own connections, each with an io_context of its own.
class TrafficThreads
{
public:
  /// @param aCount how many threads, at least one.
  explicit TrafficThreads(std::size_t aCount);
  /// Stops and joins the threads.
  ~TrafficThreads();
  TrafficThreads(const TrafficThreads&) = delete;
  TrafficThreads& operator=(const TrafficThreads&) = delete;

  /// Starts the threads.
  /// @param aFailed told, on any of them, what a handler threw.
  void Start(const HandlerFailed& aFailed);
  /// Stops and joins the threads.
  void Stop();
  /// @returns one of the contexts; any number will do.
  boost::asio::io_context& At(std::size_t aIndex) { return *mContexts[aIndex % mContexts.size()]; }
  /// @returns all contexts.
  std::vector<boost::asio::io_context*> All() const;

private:
  std::vector<std::unique_ptr<boost::asio::io_context>> mContexts;
  std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> mGuards;
  std::vector<std::thread> mThreads;
};

} // namespace by::detail
