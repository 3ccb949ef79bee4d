#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "by_cell/Effects.h"
#include "by_core/Time.h"
#include "by_entry/OpenOrder.h"
#include "by_schema/WorkerOrder.h"

namespace by {

/// How the owner's orders reach the workers through other nodes.
struct RelayState
{
  /// The number of the last order; the epoch in its upper half keeps the numbers of two owners
  /// apart.
  std::uint64_t mLastNumber{ 0 };
  /// Relayed orders without an answer, by number.
  std::map<std::uint64_t, OpenOrder> mOpen;
  /// When the open orders and the relays are next checked.
  Time mNextCheck{};
  /// The relay of each worker; empty for this node itself.
  std::map<std::string, std::string> mRelayOfWorker;
  /// Relays that left an order unanswered, and until when they get no orders.
  std::map<std::string, Time> mSuspended;
  /// The relays that could not reach a worker since it last answered, by worker.
  std::map<std::string, std::set<std::string>> mFailedRelays;
  /// Orders of a new owner that wait for members to link.
  Effects mHeld;
  /// Orders that wait for others to the same relay, and when they are sent.
  std::map<std::string, std::vector<WorkerOrder>> mOutbox;
  Time mSendAt{ Time::Never() };
};

} // namespace by
