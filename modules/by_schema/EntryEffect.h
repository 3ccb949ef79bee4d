#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AppendToCell.h"
#include "by_schema/ConnectToOwner.h"
#include "by_schema/ExitEntry.h"
#include "by_schema/JoinGroup.h"
#include "by_schema/LeaveGroup.h"
#include "by_schema/LoadCell.h"
#include "by_schema/LogLine.h"
#include "by_schema/PollWorker.h"
#include "by_schema/PublishWave.h"
#include "by_schema/ReadClaim.h"
#include "by_schema/ReplyToCaller.h"
#include "by_schema/RequestAdvice.h"
#include "by_schema/SendToMember.h"
#include "by_schema/SendToOwner.h"
#include "by_schema/SetEntryReady.h"
#include "by_schema/StartMaintenance.h"
#include "by_schema/StartRun.h"
#include "by_schema/StopRun.h"
#include "by_schema/WatchWorkers.h"
#include "by_schema/WriteClaim.h"

namespace by {

/// Any effect that an entry node's control logic requests.
class EntryEffect
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The effect.
    std::variant<ReplyToCaller,
                 JoinGroup,
                 LeaveGroup,
                 ReadClaim,
                 WriteClaim,
                 LoadCell,
                 AppendToCell,
                 WatchWorkers,
                 PollWorker,
                 StartRun,
                 StopRun,
                 RequestAdvice,
                 ConnectToOwner,
                 SendToOwner,
                 SendToMember,
                 SetEntryReady,
                 LogLine,
                 ExitEntry,
                 StartMaintenance,
                 PublishWave>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  EntryEffect() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<EntryEffect> Create(Fields aFields)
  {
    return EntryEffect(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The effect.
  const std::variant<ReplyToCaller,
                     JoinGroup,
                     LeaveGroup,
                     ReadClaim,
                     WriteClaim,
                     LoadCell,
                     AppendToCell,
                     WatchWorkers,
                     PollWorker,
                     StartRun,
                     StopRun,
                     RequestAdvice,
                     ConnectToOwner,
                     SendToOwner,
                     SendToMember,
                     SetEntryReady,
                     LogLine,
                     ExitEntry,
                     StartMaintenance,
                     PublishWave>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] EntryEffect WithBody(std::variant<ReplyToCaller,
                                                  JoinGroup,
                                                  LeaveGroup,
                                                  ReadClaim,
                                                  WriteClaim,
                                                  LoadCell,
                                                  AppendToCell,
                                                  WatchWorkers,
                                                  PollWorker,
                                                  StartRun,
                                                  StopRun,
                                                  RequestAdvice,
                                                  ConnectToOwner,
                                                  SendToOwner,
                                                  SendToMember,
                                                  SetEntryReady,
                                                  LogLine,
                                                  ExitEntry,
                                                  StartMaintenance,
                                                  PublishWave> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const EntryEffect&, const EntryEffect&) = default;
  friend auto operator<=>(const EntryEffect&, const EntryEffect&) = default;

private:
  explicit EntryEffect(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
