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

/// Plans an intent: what would change, and whether it can run at all. Every task takes a slot.
/// @param aIntentId the id of the new intent.
/// @param aVms the platform's list; backend servers count.
/// @param aExpiry how long the plan can be confirmed.
/// @returns the plan, not feasible with the resource and the figures where it can never run.
Plan
MakePlan(const IntentTable& aTable,
         const IntentSpec& aSpec,
         const IntentId& aIntentId,
         const std::vector<VmDescription>& aVms,
         const ConfigDocument& aConfig,
         Time aNow,
         Time aExpiry);

} // namespace by
