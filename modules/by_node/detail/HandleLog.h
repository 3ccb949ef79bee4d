#pragma once

namespace by {

class AppendFailed;
class LogRead;
class StateQuery;
class StateTransfer;

namespace detail {

struct StepWork;

/// Folds entries that were read from the log and updates everything that depends on them.
void
ObserveLogRead(StepWork& aWork, const LogRead& aRead);

/// Records that the log can't be read.
void
ObserveLogReadFailed(StepWork& aWork);

/// Handles records that were not appended, or whose append has an unknown outcome.
void
ObserveRecordsFailed(StepWork& aWork, const AppendFailed& aFailed);

/// Answers a peer's query for the folded state.
void
ObserveStateQuery(StepWork& aWork, const StateQuery& aQuery);

/// Adopts the folded state of a peer while this node has not caught up with the log.
void
ObserveStateTransfer(StepWork& aWork, const StateTransfer& aTransfer);

/// Writes a snapshot if one is due on this node.
void
WriteSnapshotIfDue(StepWork& aWork);

/// Queries a peer for its folded state if the node is starting and the log can't be read.
void
QueryPeersForState(StepWork& aWork);

} // namespace detail
} // namespace by
