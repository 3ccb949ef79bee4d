#include "by_intents/TaskNames.h"

#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace by {

TaskId
TaskIdOf(const TaskKey& aKey)
{
  return TaskId(absl::StrCat(aKey.mIntent.Text(), "/", aKey.mIndex));
}

std::optional<TaskKey>
TaskKeyOf(const TaskId& aId)
{
  const auto& text = aId.Text();
  const auto slash = text.rfind('/');
  std::int64_t index = 0;
  if (slash == std::string::npos || !absl::SimpleAtoi(text.substr(slash + 1), &index)) {
    return std::nullopt;
  }
  return TaskKey{ .mIntent = IntentId(text.substr(0, slash)), .mIndex = index };
}

} // namespace by
