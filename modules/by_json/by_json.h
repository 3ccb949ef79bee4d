#pragma once

/// Module by_json
///
/// Purpose: reads and writes the value types of by_schema as JSON; settings may hold comments.
/// Dependencies: by_core, by_schema, Boost.JSON.

#include "by_json/JsonText.h"
#include "by_json/StrictJson.h"
#include "by_json/TypeTag.h"
