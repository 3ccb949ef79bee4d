#pragma once

#include <string>
#include <vector>

#include "by_cell/TakeAll.h"
#include "by_entry/by_entry.h"

namespace by {

/// One entry node whose store, group and peers are simulated by the test.
struct EntryFixture
{
  explicit EntryFixture(const std::string& aNode = "n1");

  /// Delivers an event to the node and collects the effects.
  template<class Body>
  void Deliver(Body aBody)
  {
    const auto out = StepEntry(mState, EventOf(std::move(aBody)), mNow);
    mOut.insert(mOut.end(), out.begin(), out.end());
  }

  /// Delivers a configuration with one queue.
  void Configure(std::uint64_t aVersion = 1);
  /// Delivers the group's answer to a join request.
  void Join(bool aElected);
  /// Makes another node the owner, with the link to it up.
  void SetRemoteOwner(std::uint64_t aEpoch, const std::string& aNode = "n2");
  /// Makes the node under test the owner.
  void BecomeOwner(std::uint64_t aEpoch);
  /// Advances the time in ticks of 50 ms.
  void Advance(Time aTime);
  /// Delivers a caller's request.
  void SendCall(std::uint64_t aNumber, JobCallKind aKind, const std::string& aPath);

  /// @returns the effects of one type since the last call for that type.
  template<class Body>
  std::vector<Body> Take()
  {
    return TakeAll<Body>(mOut);
  }
  /// @returns the outcomes in answers to callers since the last call.
  std::vector<JobCallOutcome> TakeOutcomes();

  EntryState mState;
  Time mNow{ Time::FromMilliseconds(1000000) };
  Effects mOut;
};

} // namespace by
