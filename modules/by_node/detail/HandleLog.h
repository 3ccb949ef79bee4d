#pragma once

namespace by {

class AppendFailed;
class LogRead;
class StateQuery;
class StateTransfer;

namespace detail {

struct StepWork;

/// Folds what was read from the log and lets every part see it.
void
ObserveLogRead(StepWork& aWork, const LogRead& aRead);

/// Notes that the log can't be read.
void
ObserveLogReadFailed(StepWork& aWork);

/// Records were not appended, or nobody knows.
void
ObserveRecordsFailed(StepWork& aWork, const AppendFailed& aFailed);

/// A peer asks for the folded state.
void
ObserveStateQuery(StepWork& aWork, const StateQuery& aQuery);

/// A peer gives its folded state, while this node can't read the log.
void
ObserveStateTransfer(StepWork& aWork, const StateTransfer& aTransfer);

/// Writes a snapshot where it is this node's turn.
void
WriteSnapshotIfDue(StepWork& aWork);

/// Asks a peer for its state where this node has started and the log can't be read.
void
QueryPeersForState(StepWork& aWork);

} // namespace detail
} // namespace by
