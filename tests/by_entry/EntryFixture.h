#pragma once

#include <string>
#include <vector>

#include "by_cell/TakeAll.h"
#include "by_entry/by_entry.h"

namespace by {

/// One entry node, and what the store, the group and other nodes tell it.
struct EntryFixture
{
  explicit EntryFixture(const std::string& aNode = "n1");

  /// Delivers an event and collects the effects.
  template<class Body>
  void Deliver(Body aBody)
  {
    const auto out = StepEntry(mState, EventOf(std::move(aBody)), mNow);
    mOut.insert(mOut.end(), out.begin(), out.end());
  }

  /// Gives the node a configuration with one queue, and an answer of the group.
  void Configure(std::uint64_t aVersion = 1);
  void Join(bool aElected);
  /// Lets another node be the owner, with the link to it up.
  void SetRemoteOwner(std::uint64_t aEpoch, const std::string& aNode = "n2");
  /// Makes this node the owner.
  void BecomeOwner(std::uint64_t aEpoch);
  /// Lets time pass.
  void Advance(Time aTime);
  /// Sends a caller's request.
  void SendCall(std::uint64_t aNumber, JobCallKind aKind, const std::string& aPath);

  /// @returns the effects of a kind since the last call for it.
  template<class Body>
  std::vector<Body> Take()
  {
    return TakeAll<Body>(mOut);
  }
  /// @returns the verdicts of the answers to callers since the last call.
  std::vector<JobCallOutcome> TakeOutcomes();

  EntryState mState;
  Time mNow{ Time::FromMilliseconds(1000000) };
  Effects mOut;
};

} // namespace by
