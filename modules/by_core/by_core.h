#pragma once

/// Module by_core
///
/// Purpose: the small types that everything else is written in: time, identifiers, findings.
/// Dependencies: absl.

#include "by_core/CheckRange.h"
#include "by_core/ConstantTime.h"
#include "by_core/Findings.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
