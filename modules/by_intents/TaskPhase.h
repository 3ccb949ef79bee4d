#pragma once

namespace by {

/// The phase of a task from the view of its rack's owner.
enum class TaskPhase
{
  /// The task waits for free capacity.
  Offered,
  /// Capacity is reserved on a VM; the task is not started.
  Reserved,
  /// The start was sent.
  Starting,
  /// The start was not answered; an inventory will resolve it.
  Unanswered,
  /// The task runs.
  Running,
  /// The VM is gone; the task is lost once the VM's lease has expired.
  VmLost,
  /// The task ended, was released or is lost; the log does not show it yet.
  Ended,
};

} // namespace by
