#pragma once

#include "by_schema/HttpCall.h"
#include "by_schema/HttpResult.h"

namespace by {

/// Makes one call and waits for its end; for command-line tools and tests.
/// @returns how it ended, at the latest when the call's timeout has passed.
HttpResult
CallAndWait(const HttpCall& aCall);

} // namespace by
