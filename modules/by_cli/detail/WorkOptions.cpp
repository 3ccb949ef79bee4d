#include "by_cli/detail/WorkOptions.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace by::detail {

namespace {

template<class T>
void
TakeOption(const ParsedLine& aLine, const char* aName, T& aField)
{
  if (aLine.mOptions.count(aName) > 0) {
    aField = aLine.mOptions[aName].as<T>();
  }
}

void
TakeTime(const ParsedLine& aLine, const char* aName, Time& aField)
{
  auto n = aField.Milliseconds();
  TakeOption(aLine, aName, n);
  aField = Time::FromMilliseconds(n);
}

template<class T>
absl::Status
TakeEnum(const ParsedLine& aLine,
         const char* aName,
         absl::StatusOr<T> (*aParse)(std::string_view),
         T& aField)
{
  if (aLine.mOptions.count(aName) == 0) {
    return absl::OkStatus();
  }
  const auto parsed = aParse(aLine.mOptions[aName].as<std::string>());
  if (!parsed.ok()) {
    return absl::InvalidArgumentError(
      absl::StrCat("--", aName, ": ", std::string(parsed.status().message())));
  }
  aField = *parsed;
  return absl::OkStatus();
}

/// Options that requests and tasks of intents share.
void
AddWorkOptions(cxxopts::Options& aOptions)
{
  const auto number = [](const char* aDefault) {
    return cxxopts::value<std::int64_t>()->default_value(aDefault);
  };
  aOptions.add_options()(
    "kind", "Kind of work, such as fare-quote", cxxopts::value<std::string>(), "KIND")(
    "priority", "normal, urgent or deferrable", cxxopts::value<std::string>(), "PRIORITY")(
    "cpu", "Processor time in millicores", number("100"), "N")(
    "memory", "Memory in MB", number("64"), "N")("accelerators", "Accelerators", number("0"), "N")(
    "slots", "Task slots", number("1"), "N")(
    "length", "Expected run time in milliseconds", cxxopts::value<std::int64_t>(), "MS")(
    "payload", "What the task is given", cxxopts::value<std::string>(), "TEXT");
}

Resources
ResourcesOf(const ParsedLine& aLine)
{
  const auto number = [&aLine](const char* aName) {
    return aLine.mOptions[aName].as<std::int64_t>();
  };
  return Resources::Create({ .mCpuMillis = number("cpu"),
                             .mMemoryMb = number("memory"),
                             .mAccelerators = number("accelerators"),
                             .mSlots = number("slots") })
    .value();
}

absl::StatusOr<IntentSpec>
SpecFromOptions(const ParsedLine& aLine)
{
  IntentSpec::Fields fields;
  std::string team;
  TakeOption(aLine, "name", fields.mName);
  TakeOption(aLine, "team", team);
  TakeOption(aLine, "tasks", fields.mTasks);
  TakeOption(aLine, "kind", fields.mKind);
  TakeOption(aLine, "max-attempts", fields.mMaxAttempts);
  TakeOption(aLine, "payload", fields.mPayload);
  TakeTime(aLine, "length", fields.mDeclaredLength);
  auto status = TakeEnum(aLine, "class", ParseWorkClass, fields.mWorkClass);
  status.Update(TakeEnum(aLine, "priority", ParsePriority, fields.mPriority));
  if (!status.ok()) {
    return status;
  }
  fields.mTeam = TeamId(team);
  fields.mResources = ResourcesOf(aLine);
  fields.mIdempotent = aLine.mOptions.count("not-idempotent") == 0;
  return IntentSpec::Create(std::move(fields));
}

} // namespace

void
AddSubmitOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("label",
                         "Your own name for the request",
                         cxxopts::value<std::string>(),
                         "LABEL")("idempotent", "It may be run again after a failure")(
    "patience", "How long it may wait in milliseconds", cxxopts::value<std::int64_t>(), "MS")(
    "payload-file",
    "A file with what the task is given; - for standard input",
    cxxopts::value<std::string>(),
    "FILE");
  AddWorkOptions(aOptions);
}

absl::StatusOr<CommandBody>
ParseSubmit(const ParsedLine& aLine)
{
  if (!aLine.mOperands.empty()) {
    return absl::InvalidArgumentError(
      absl::StrCat("'", aLine.mOperands.front(), "' is one word too many, see --help"));
  }
  SubmitBody::Fields fields;
  std::string file;
  TakeOption(aLine, "label", fields.mLabel);
  TakeOption(aLine, "kind", fields.mKind);
  TakeOption(aLine, "payload", fields.mPayload);
  TakeOption(aLine, "payload-file", file);
  TakeTime(aLine, "patience", fields.mMaxWait);
  TakeTime(aLine, "length", fields.mDeclaredLength);
  auto status = TakeEnum(aLine, "priority", ParsePriority, fields.mPriority);
  if (!status.ok()) {
    return status;
  }
  fields.mIdempotent = aLine.mOptions.count("idempotent") > 0;
  fields.mResources = ResourcesOf(aLine);
  const auto body = SubmitBody::Create(std::move(fields));
  if (!body.ok()) {
    return body.status();
  }
  return SubmitCommand::Create({ .mBody = *body, .mPayloadFile = file }).value();
}

void
AddPlanOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("name", "Your name for the intent", cxxopts::value<std::string>(), "NAME")(
    "team", "The team it runs for", cxxopts::value<std::string>(), "TEAM")(
    "class", "service, batch or gang", cxxopts::value<std::string>(), "CLASS")(
    "tasks", "How many tasks", cxxopts::value<std::int64_t>(), "N")(
    "max-attempts", "How often a task is tried", cxxopts::value<std::int64_t>(), "N")(
    "not-idempotent", "A task that may have run is not run again");
  AddWorkOptions(aOptions);
}

absl::StatusOr<CommandBody>
ParsePlan(const ParsedLine& aLine)
{
  if (aLine.mOperands.size() > 1) {
    return absl::InvalidArgumentError("takes one FILE at most, see --help");
  }
  if (!aLine.mOperands.empty()) {
    return PlanCommand::Create({ .mFile = aLine.mOperands.front() }).value();
  }
  const auto spec = SpecFromOptions(aLine);
  if (!spec.ok()) {
    return spec.status();
  }
  return PlanCommand::Create({ .mSpec = *spec }).value();
}

} // namespace by::detail
