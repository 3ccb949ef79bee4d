#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/IntentSpec.h"
#include "by_schema/Plan.h"
#include "by_schema/VmDescription.h"

namespace by {

/// Plans an intent: what it would change, and whether it can run at all. Every task requests at
/// least one slot.
/// @param aIntentId the id of the new intent.
/// @param aVms the platform's VM list; only backend servers are considered.
/// @param aExpiry how long the plan can be confirmed.
/// @returns the plan. If the intent can never run, the plan is not feasible and names the resource
/// and the amounts.
Plan
MakePlan(const IntentTable& aTable,
         const IntentSpec& aSpec,
         const IntentId& aIntentId,
         const std::vector<VmDescription>& aVms,
         const ConfigDocument& aConfig,
         Time aNow,
         Time aExpiry);

} // namespace by
