#include "backend_server/TaskLength.h"

#include <charconv>

namespace by::standins {

namespace {

constexpr std::string_view kRunPrefix = "run_ms=";
constexpr std::string_view kFailPrefix = "fail;";
constexpr std::string_view kCrashPrefix = "crash;";
constexpr auto kDefaultRequestLength = Time::FromMilliseconds(20);
constexpr auto kDefaultTaskLength = Time::FromMilliseconds(200);

Time
DefaultLength(const TaskStart& aStart)
{
  if (aStart.DeclaredLength() > Time()) {
    return aStart.DeclaredLength();
  }
  if (aStart.WorkClass() == WorkClass::Service) {
    return Time::Never() / 4;
  }
  return aStart.WorkClass() == WorkClass::Request ? kDefaultRequestLength : kDefaultTaskLength;
}

} // namespace

TaskBehaviour
BehaviourOf(const TaskStart& aStart)
{
  TaskBehaviour behaviour{ .mLength = DefaultLength(aStart) };
  std::string_view rest = aStart.Payload();
  if (rest.starts_with(kRunPrefix)) {
    const auto end = rest.find(';');
    const auto digits = rest.substr(kRunPrefix.size(), end - kRunPrefix.size());
    std::int64_t n = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (end != std::string_view::npos && parsed.ec == std::errc()) {
      behaviour.mLength = Time::FromMilliseconds(n);
      rest.remove_prefix(end + 1);
    }
  }
  behaviour.mFails = rest.starts_with(kFailPrefix);
  behaviour.mCrashes = rest.starts_with(kCrashPrefix);
  return behaviour;
}

} // namespace by::standins
