#include "by_telemetry/CountNode.h"

#include <algorithm>
#include <variant>

namespace by {

namespace {

constexpr double kMillisecondsInSecond = 1000.0;

/// Counts nothing for the kinds that no overload names.
struct EventCounter
{
  Metrics& mMetrics;

  void operator()(const CallerSubmitted&) const { mMetrics.Add(CounterName::RequestsAdmitted); }
  void operator()(const CallerGone&) const { mMetrics.Add(CounterName::CallersGone); }
  void operator()(const PeerHeartbeat&) const { mMetrics.Add(CounterName::HeartbeatsReceived); }
  void operator()(const PeerUnreachable&) const { mMetrics.Add(CounterName::PeersUnreachable); }
  void operator()(const LogReadFailed&) const { mMetrics.Add(CounterName::LogReadFailures); }
  void operator()(const AppendFailed&) const { mMetrics.Add(CounterName::LogAppendFailures); }
  void operator()(const LeaseFailed&) const { mMetrics.Add(CounterName::LeaseFailures); }
  void operator()(const LeaseAnswered& aAnswered) const
  {
    if (!aAnswered.Grant().Granted()) {
      mMetrics.Add(CounterName::LeaseFailures);
    }
  }
  void operator()(const TaskUnanswered&) const { mMetrics.Add(CounterName::TaskUnanswered); }
  template<class T>
  void operator()(const T&) const
  {
  }
};

/// Counts nothing for the kinds that no overload names.
struct EffectCounter
{
  Metrics& mMetrics;

  void operator()(const AnswerCaller& aAnswered) const
  {
    const auto& answer = aAnswered.Answer();
    mMetrics.AddAnswer(answer.Outcome(), answer.Reason());
    if (answer.Outcome() == Outcome::Answered) {
      mMetrics.Observe(HistogramName::RequestWait, answer.Waited());
      mMetrics.Observe(HistogramName::RequestRun, answer.Ran());
    }
  }
  void operator()(const SendFrame& aSend) const
  {
    if (std::holds_alternative<ForwardedRequest>(aSend.Frame().Body())) {
      mMetrics.Add(CounterName::RequestsForwarded);
    }
  }
  void operator()(const SendHeartbeat&) const { mMetrics.Add(CounterName::HeartbeatsSent); }
  void operator()(const AppendRecords& aAppend) const
  {
    mMetrics.Add(CounterName::LogAppends);
    mMetrics.Add(CounterName::LogRecords, static_cast<std::int64_t>(aAppend.Records().size()));
  }
  void operator()(const SendLease&) const { mMetrics.Add(CounterName::LeaseRequests); }
  void operator()(const SendStart& aSend) const
  {
    mMetrics.Add(CounterName::TaskStarts);
    if (aSend.WaitForEnd() && aSend.Start().Generation() > 1) {
      mMetrics.Add(CounterName::RequestRetries);
    }
  }
  template<class T>
  void operator()(const T&) const
  {
  }
};

template<class Rows, class Condition>
double
CountIf(const Rows& aRows, Condition aCondition)
{
  return static_cast<double>(std::count_if(aRows.begin(), aRows.end(), aCondition));
}

bool
IsAlive(const NodeStatus& aNode)
{
  return aNode.Status() == "alive" || aNode.Status() == "self";
}

} // namespace

void
CountEvent(Metrics& aMetrics, const NodeEvent& aEvent)
{
  std::visit(EventCounter{ aMetrics }, aEvent.Body());
}

void
CountEffect(Metrics& aMetrics, const NodeEffect& aEffect)
{
  std::visit(EffectCounter{ aMetrics }, aEffect.Body());
}

void
SetGauges(Metrics& aMetrics, const StateDump& aState)
{
  const auto owns = [&aState](const RackOwner& aOwner) { return aOwner.Node() == aState.Node(); };
  const auto leased = [](const OwnedVm& aVm) { return aVm.Status() != "unleased"; };
  const auto setAside = [](const OwnedVm& aVm) { return aVm.Status() == "set_aside"; };
  const auto age = static_cast<double>(aState.LogReadAge().Milliseconds());
  aMetrics.Set(GaugeName::Ready, aState.Ready() ? 1 : 0);
  aMetrics.Set(GaugeName::LogOffset, static_cast<double>(aState.AppliedOffset()));
  aMetrics.Set(GaugeName::LogReadAge, age / kMillisecondsInSecond);
  aMetrics.Set(GaugeName::ConfigVersion, static_cast<double>(aState.ConfigVersion()));
  aMetrics.Set(GaugeName::RacksOwned, CountIf(aState.Owners(), owns));
  aMetrics.Set(GaugeName::LeasesHeld, CountIf(aState.Vms(), leased));
  aMetrics.Set(GaugeName::VmsSetAside, CountIf(aState.Vms(), setAside));
  aMetrics.Set(GaugeName::MembersAlive, CountIf(aState.Nodes(), IsAlive));
  aMetrics.Set(GaugeName::QueueLength, static_cast<double>(aState.Queued()));
  aMetrics.Set(GaugeName::RequestsHeld, static_cast<double>(aState.Requests().size()));
}

} // namespace by
