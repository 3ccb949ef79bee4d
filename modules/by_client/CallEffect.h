#pragma once

#include "by_schema/HttpResult.h"

namespace by {

/// Tells whether the server may have acted on a call.
/// @returns false only where the call was not sent, or was refused by a 4xx status or by 503.
bool
MayHaveTakenEffect(const HttpResult& aResult);

/// @returns whether a whole response with status 200 arrived.
bool
IsOk(const HttpResult& aResult);

} // namespace by
