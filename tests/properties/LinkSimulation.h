#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "by_entry/by_entry.h"

namespace by {

/// Simulates an owner whose members are killed and started again, or open another link, while their
/// calls are on the way, are queued at the owner, or are being answered. Members of this simulation
/// count the calls of each process from 1, as earlier versions do. Checks that a process only gets
/// answers to calls of its own.
class LinkSimulation
{
public:
  explicit LinkSimulation(std::uint32_t aSeed);

  /// Plays random events.
  void Simulate(int aSteps);
  /// @returns the violated rules, each with what was observed.
  const std::vector<std::string>& Violations() const { return mViolations; }
  /// @returns how many calls were answered.
  int Answers() const { return mAnswers; }

private:
  /// One process of a member, by the link that leads to it.
  struct Process
  {
    std::uint64_t mLink{ 0 };
    /// The operations that its callers wait for, by call number.
    std::map<std::uint64_t, JobCallKind> mCalls;
    std::uint64_t mLastCall{ 0 };
  };

  int Draw(int aBound);
  std::string DrawNode();
  void Restart(const std::string& aNode);
  void Relink(const std::string& aNode);
  void Call(const std::string& aNode);
  /// Lets the owner handle some of the queued events in one step.
  void Step();
  /// Lets the traffic thread carry out some of the effects.
  void Transmit();
  void Receive(const std::string& aNode, const JobReply& aReply);

  std::mt19937 mRandom;
  Time mNow{ Time::FromMilliseconds(1000000) };
  EntryState mOwner;
  std::map<std::string, Process> mMembers;
  std::uint64_t mLastLink{ 0 };
  std::uint64_t mLastJob{ 0 };
  std::deque<EntryEvent> mEvents;
  std::deque<EntryEffect> mEffects;
  std::vector<std::string> mViolations;
  int mAnswers{ 0 };
};

} // namespace by
