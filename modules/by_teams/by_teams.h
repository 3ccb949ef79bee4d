#pragma once

/// Module by_teams
///
/// Purpose: who a caller is: the keys of the teams in one version of the configuration.
/// docs/design/keys.md has the rules. Dependencies: by_core, by_schema.

#include "by_teams/KeyTable.h"
#include "by_teams/TeamKey.h"
