#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/AdviceAnswered.h"
#include "by_schema/CellAppended.h"
#include "by_schema/CellLoaded.h"
#include "by_schema/ClaimRead.h"
#include "by_schema/ClaimWritten.h"
#include "by_schema/ClockTick.h"
#include "by_schema/ClusterConfig.h"
#include "by_schema/FromMember.h"
#include "by_schema/FromOwner.h"
#include "by_schema/GroupJoined.h"
#include "by_schema/JobCall.h"
#include "by_schema/LinkChanged.h"
#include "by_schema/MaintenanceAnswered.h"
#include "by_schema/MaintenanceWave.h"
#include "by_schema/MemberChanged.h"
#include "by_schema/SettingsRead.h"
#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"
#include "by_schema/StopRequested.h"
#include "by_schema/WavePublished.h"
#include "by_schema/WorkerPolled.h"
#include "by_schema/WorkersChanged.h"

namespace by {

/// Any event that an entry node's control logic handles.
class EntryEvent
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The event.
    std::variant<ClockTick,
                 JobCall,
                 ClusterConfig,
                 GroupJoined,
                 ClaimRead,
                 ClaimWritten,
                 CellLoaded,
                 CellAppended,
                 WorkersChanged,
                 WorkerPolled,
                 StartAnswered,
                 StopAnswered,
                 AdviceAnswered,
                 LinkChanged,
                 FromOwner,
                 FromMember,
                 MemberChanged,
                 StopRequested,
                 MaintenanceWave,
                 MaintenanceAnswered,
                 WavePublished,
                 SettingsRead>
      mBody{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  EntryEvent() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<EntryEvent> Create(Fields aFields)
  {
    return EntryEvent(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The event.
  const std::variant<ClockTick,
                     JobCall,
                     ClusterConfig,
                     GroupJoined,
                     ClaimRead,
                     ClaimWritten,
                     CellLoaded,
                     CellAppended,
                     WorkersChanged,
                     WorkerPolled,
                     StartAnswered,
                     StopAnswered,
                     AdviceAnswered,
                     LinkChanged,
                     FromOwner,
                     FromMember,
                     MemberChanged,
                     StopRequested,
                     MaintenanceWave,
                     MaintenanceAnswered,
                     WavePublished,
                     SettingsRead>&
  Body() const
  {
    return mFields.mBody;
  }
  /// @returns a copy of this value with another Body.
  [[nodiscard]] EntryEvent WithBody(std::variant<ClockTick,
                                                 JobCall,
                                                 ClusterConfig,
                                                 GroupJoined,
                                                 ClaimRead,
                                                 ClaimWritten,
                                                 CellLoaded,
                                                 CellAppended,
                                                 WorkersChanged,
                                                 WorkerPolled,
                                                 StartAnswered,
                                                 StopAnswered,
                                                 AdviceAnswered,
                                                 LinkChanged,
                                                 FromOwner,
                                                 FromMember,
                                                 MemberChanged,
                                                 StopRequested,
                                                 MaintenanceWave,
                                                 MaintenanceAnswered,
                                                 WavePublished,
                                                 SettingsRead> aValue) const
  {
    auto copy = *this;
    copy.mFields.mBody = std::move(aValue);
    return copy;
  }

  friend bool operator==(const EntryEvent&, const EntryEvent&) = default;
  friend auto operator<=>(const EntryEvent&, const EntryEvent&) = default;

private:
  explicit EntryEvent(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
