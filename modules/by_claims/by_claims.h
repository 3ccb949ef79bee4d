#pragma once

/// Module by_claims
///
/// Purpose: folds the claims on runs of non-idempotent requests from the log.
/// Dependencies: by_core, by_schema.

#include "by_claims/ApplyRequestClaims.h"
#include "by_claims/ClaimsFold.h"
