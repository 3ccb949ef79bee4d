#pragma once

#include <string>

#include "by_json/Secrets.h"
#include "by_schema/Answer.h"
#include "by_schema/ConfigStatus.h"
#include "by_schema/IntentList.h"
#include "by_schema/IntentStatus.h"
#include "by_schema/NodeList.h"
#include "by_schema/Plan.h"
#include "by_schema/StateDump.h"

namespace by::detail {

/// Writes an answer for people.
std::string
WriteTable(const Answer& aAnswer);

/// Writes a plan for people.
std::string
WriteTable(const Plan& aPlan);

/// Writes one intent with its tasks for people.
std::string
WriteTable(const IntentStatus& aIntent);

/// Writes intents for people, one a line.
std::string
WriteTable(const IntentList& aIntents);

/// Writes the versions in force for people, one node a line.
std::string
WriteTable(const ConfigStatus& aStatus);

/// Writes members for people, one a line.
std::string
WriteTable(const NodeList& aNodes);

/// Writes a node's state for people.
std::string
WriteTable(const StateDump& aState);

/// Writes the configuration in force as a file that can be edited and published.
/// @param aSecrets whether the teams' tokens are written.
std::string
WriteDocument(const ConfigStatus& aStatus, Secrets aSecrets);

} // namespace by::detail
