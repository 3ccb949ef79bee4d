#pragma once

#include <string_view>

#include "by_core/Time.h"
#include "by_schema/TaskStart.h"

namespace by::standins {

/// What a payload says of how its task behaves, by prefixes such as "run_ms=25;fail;".
struct TaskBehaviour
{
  Time mLength;
  bool mFails{ false };
  /// Whether it ends the process of its server instead of itself.
  bool mCrashes{ false };

  friend bool operator==(const TaskBehaviour&, const TaskBehaviour&) = default;
  friend auto operator<=>(const TaskBehaviour&, const TaskBehaviour&) = default;
};

/// Reads how a task behaves: "run_ms=N;" sets its length, "fail;" lets it fail, "crash;" lets
/// it crash its server at its end; else it runs for
/// its declared length, or a default one. A service without a length runs until it is stopped.
TaskBehaviour
BehaviourOf(const TaskStart& aStart);

} // namespace by::standins
