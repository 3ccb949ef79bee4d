#pragma once

namespace by {

/// How a task stands with the owner of its rack.
enum class TaskPhase
{
  /// It waits for room.
  Offered,
  /// It has a VM and its room is held; it is not started.
  Reserved,
  /// Its start was sent.
  Starting,
  /// Its start was not answered; an inventory will tell.
  Unanswered,
  /// It runs.
  Running,
  /// Its VM is gone; it is lost once the VM's lease has lapsed.
  VmLost,
  /// It ended, was released or is lost; the log does not show it yet.
  Ended,
};

} // namespace by
