#include "by_cli/detail/WriteTables.h"

#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cli/detail/PrettyJson.h"
#include "by_cli/detail/TextTable.h"
#include "by_json/generated/config_json.h"

namespace by::detail {

namespace {

std::string
Text(std::string_view aText)
{
  return std::string(aText);
}

template<class T>
requires std::is_integral_v<T> std::string
Text(T aNumber)
{
  return std::to_string(aNumber);
}

template<class Tag>
std::string
Text(const Identifier<Tag>& aName)
{
  return aName.IsEmpty() ? "-" : aName.Text();
}

std::string
Text(Time aTime)
{
  return absl::StrCat(aTime.Milliseconds(), " ms");
}

std::string
YesOrNo(bool aFlag)
{
  return aFlag ? "yes" : "no";
}

std::string
Text(const Resources& aAmount)
{
  return absl::StrCat(aAmount.CpuMillis(),
                      " millicores, ",
                      aAmount.MemoryMb(),
                      " MB, ",
                      aAmount.Accelerators(),
                      " accelerators, ",
                      aAmount.Slots(),
                      " slots");
}

/// A reason, with the sentence that explains it; empty where there is none.
std::string
Explain(Reason aReason, const std::string& aDetail)
{
  if (aReason == Reason::None) {
    return aDetail;
  }
  const auto name = Text(ToString(aReason));
  return aDetail.empty() ? name : absl::StrCat(name, ": ", aDetail);
}

std::string
StateOf(const IntentStatus& aIntent)
{
  return aIntent.Confirmed() ? Text(ToString(aIntent.State())) : "planned";
}

std::string
StateOf(const IntentTaskStatus& aTask)
{
  if (aTask.Generation() == 0) {
    return "waiting";
  }
  return aTask.Reserved() ? "reserved" : Text(ToString(aTask.State()));
}

std::string
WriteOwners(const std::vector<RackOwner>& aOwners)
{
  std::vector<TextRow> rows{ { "RACK", "OWNER", "EPOCH" } };
  for (const auto& it : aOwners) {
    rows.push_back({ Text(it.Rack()), Text(it.Node()), Text(it.Epoch()) });
  }
  return WriteColumns(rows);
}

std::string
WriteVms(const std::vector<OwnedVm>& aVms)
{
  std::vector<TextRow> rows{ { "VM", "RACK", "STANDING", "EPOCH", "TASKS", "TAKEN", "OF" } };
  for (const auto& it : aVms) {
    rows.push_back({ Text(it.Vm()),
                     Text(it.Rack()),
                     it.Status(),
                     Text(it.Epoch()),
                     Text(it.Tasks()),
                     Text(it.Committed()),
                     Text(it.Capacity()) });
  }
  return WriteColumns(rows);
}

std::string
WriteRequests(const std::vector<HeldRequest>& aRequests)
{
  std::vector<TextRow> rows{ { "REQUEST", "TEAM", "PHASE", "ATTEMPT", "AGE", "PLACE" } };
  for (const auto& it : aRequests) {
    rows.push_back({ Text(it.Request()),
                     Text(it.Team()),
                     it.Phase(),
                     Text(it.Attempt()),
                     Text(it.Age()),
                     it.Place() });
  }
  return WriteColumns(rows);
}

std::string
WriteMembers(const std::vector<NodeStatus>& aNodes)
{
  std::vector<TextRow> rows{
    { "NODE", "ZONE", "STANDING", "READY", "OFFSET", "CONFIG", "RACKS", "SILENT" }
  };
  for (const auto& it : aNodes) {
    rows.push_back({ Text(it.Node()),
                     Text(it.Zone()),
                     it.Status(),
                     YesOrNo(it.Ready()),
                     Text(it.AppliedOffset()),
                     Text(it.ConfigVersion()),
                     Text(it.Racks()),
                     Text(it.HeartbeatAge()) });
  }
  return WriteColumns(rows);
}

} // namespace

std::string
WriteTable(const Answer& aAnswer)
{
  return WritePairs({ { "outcome", Text(ToString(aAnswer.Outcome())) },
                      { "reason", Explain(aAnswer.Reason(), aAnswer.Detail()) },
                      { "request", Text(aAnswer.Request()) },
                      { "vm", Text(aAnswer.Vm()) },
                      { "waited", Text(aAnswer.Waited()) },
                      { "ran", Text(aAnswer.Ran()) },
                      { "payload", aAnswer.Payload() } });
}

std::string
WriteTable(const Plan& aPlan)
{
  auto text = WritePairs({ { "intent", Text(aPlan.Intent()) },
                           { "name", aPlan.Spec().Name() },
                           { "team", Text(aPlan.Spec().Team()) },
                           { "class", Text(ToString(aPlan.Spec().WorkClass())) },
                           { "tasks", Text(aPlan.Spec().Tasks()) },
                           { "each", Text(aPlan.Spec().Resources()) },
                           { "feasible", YesOrNo(aPlan.Feasible()) },
                           { "reason", Explain(aPlan.Reason(), aPlan.Detail()) } });
  for (const auto& change : aPlan.Changes()) {
    text += absl::StrCat("change    ", change, "\n");
  }
  return text;
}

std::string
WriteTable(const IntentStatus& aIntent)
{
  auto text = WritePairs({ { "intent", Text(aIntent.Intent()) },
                           { "name", aIntent.Spec().Name() },
                           { "team", Text(aIntent.Spec().Team()) },
                           { "class", Text(ToString(aIntent.Spec().WorkClass())) },
                           { "state", StateOf(aIntent) },
                           { "detail", aIntent.Detail() },
                           { "running", Text(aIntent.Running()) },
                           { "succeeded", Text(aIntent.Succeeded()) },
                           { "tasks", Text(aIntent.Spec().Tasks()) } });
  std::vector<TextRow> rows{ { "TASK", "GENERATION", "STATE", "RACK", "VM", "DETAIL" } };
  for (const auto& it : aIntent.Tasks()) {
    rows.push_back({ Text(it.Index()),
                     Text(it.Generation()),
                     StateOf(it),
                     Text(it.Rack()),
                     Text(it.Vm()),
                     it.Detail() });
  }
  return rows.size() == 1 ? text : absl::StrCat(text, "\n", WriteColumns(rows));
}

std::string
WriteTable(const IntentList& aIntents)
{
  std::vector<TextRow> rows{
    { "INTENT", "NAME", "TEAM", "CLASS", "STATE", "RUNNING", "SUCCEEDED", "TASKS" }
  };
  for (const auto& it : aIntents.Intents()) {
    rows.push_back({ Text(it.Intent()),
                     it.Spec().Name(),
                     Text(it.Spec().Team()),
                     Text(ToString(it.Spec().WorkClass())),
                     StateOf(it),
                     Text(it.Running()),
                     Text(it.Succeeded()),
                     Text(it.Spec().Tasks()) });
  }
  return WriteColumns(rows);
}

std::string
WriteTable(const ConfigStatus& aStatus)
{
  const auto head = WritePairs(
    { { "version", Text(aStatus.Version()) }, { "published by", aStatus.OperatorName() } });
  std::vector<TextRow> rows{ { "NODE", "ZONE", "STANDING", "VERSION" } };
  for (const auto& it : aStatus.Nodes()) {
    rows.push_back({ Text(it.Node()), Text(it.Zone()), it.Status(), Text(it.ConfigVersion()) });
  }
  return absl::StrCat(head, "\n", WriteColumns(rows));
}

std::string
WriteTable(const NodeList& aNodes)
{
  return WriteMembers(aNodes.Nodes());
}

std::string
WriteTable(const StateDump& aState)
{
  const auto head = WritePairs({ { "node", Text(aState.Node()) },
                                 { "incarnation", Text(aState.Incarnation()) },
                                 { "ready", YesOrNo(aState.Ready()) },
                                 { "draining", YesOrNo(aState.Draining()) },
                                 { "applied offset", Text(aState.AppliedOffset()) },
                                 { "log read age", Text(aState.LogReadAge()) },
                                 { "config version", Text(aState.ConfigVersion()) },
                                 { "queued", Text(aState.Queued()) },
                                 { "claims", Text(aState.Claims()) },
                                 { "intents", Text(aState.Intents()) } });
  return absl::StrCat(head,
                      "\n",
                      WriteMembers(aState.Nodes()),
                      "\n",
                      WriteOwners(aState.Owners()),
                      "\n",
                      WriteVms(aState.Vms()),
                      "\n",
                      WriteRequests(aState.Requests()));
}

std::string
WriteDocument(const ConfigStatus& aStatus, Secrets aSecrets)
{
  const auto head = absl::StrCat("// version ",
                                 aStatus.Version(),
                                 ", published by ",
                                 aStatus.OperatorName().empty() ? "nobody" : aStatus.OperatorName(),
                                 "\n");
  const auto document = aStatus.Document().value_or(ConfigDocument());
  return absl::StrCat(head, PrettyJson(ToJson(document, aSecrets)), "\n");
}

} // namespace by::detail
