#include "by_entryd/detail/EventKind.h"

#include <variant>

namespace by::detail {

namespace {

struct MemberMessageKind
{
  const char* operator()(const LinkHello&) const { return "member_hello"; }
  const char* operator()(const LinkHeartbeat&) const { return "member_heartbeat"; }
  const char* operator()(const CellRequest&) const { return "member_request"; }
  const char* operator()(const AdviceAnswered&) const { return "member_advice"; }
  const char* operator()(const RelayAnswers&) const { return "member_relay_answers"; }
  template<class Other>
  const char* operator()(const Other&) const
  {
    return "member_other";
  }
};

struct OwnerMessageKind
{
  const char* operator()(const LinkHeartbeat&) const { return "owner_heartbeat"; }
  const char* operator()(const JobReply&) const { return "owner_reply"; }
  const char* operator()(const RequestAdvice&) const { return "owner_request_advice"; }
  const char* operator()(const OwnerLeaving&) const { return "owner_leaving"; }
  const char* operator()(const RelayOrders&) const { return "owner_relay_orders"; }
  template<class Other>
  const char* operator()(const Other&) const
  {
    return "owner_other";
  }
};

struct Kind
{
  const char* operator()(const ClockTick&) const { return "tick"; }
  const char* operator()(const JobCall&) const { return "call"; }
  const char* operator()(const ClusterConfig&) const { return "config"; }
  const char* operator()(const GroupJoined&) const { return "joined"; }
  const char* operator()(const ClaimRead&) const { return "claim_read"; }
  const char* operator()(const ClaimWritten&) const { return "claim_written"; }
  const char* operator()(const CellLoaded&) const { return "loaded"; }
  const char* operator()(const CellAppended&) const { return "appended"; }
  const char* operator()(const WorkersChanged&) const { return "workers"; }
  const char* operator()(const WorkerPolled&) const { return "polled"; }
  const char* operator()(const StartAnswered&) const { return "started"; }
  const char* operator()(const StopAnswered&) const { return "stopped"; }
  const char* operator()(const AdviceAnswered&) const { return "advice"; }
  const char* operator()(const LinkChanged&) const { return "link"; }
  const char* operator()(const MemberChanged&) const { return "member"; }
  const char* operator()(const StopRequested&) const { return "stop"; }
  const char* operator()(const MaintenanceWave&) const { return "wave"; }
  const char* operator()(const MaintenanceAnswered&) const { return "maintenance"; }
  const char* operator()(const WavePublished&) const { return "wave_published"; }
  const char* operator()(const SettingsRead&) const { return "settings"; }
  const char* operator()(const FromOwner& aEvent) const
  {
    return std::visit(OwnerMessageKind{}, aEvent.Message().Body());
  }
  const char* operator()(const FromMember& aEvent) const
  {
    return std::visit(MemberMessageKind{}, aEvent.Message().Body());
  }
};

} // namespace

const char*
EventKind(const EntryEvent& aEvent)
{
  return std::visit(Kind{}, aEvent.Body());
}

} // namespace by::detail
