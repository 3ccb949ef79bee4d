#pragma once

#include <string_view>

#include "by_http/Caller.h"
#include "by_http/HttpAccess.h"

namespace by {

/// Finds out who calls.
/// @param aAuthorization the Authorization header, "Bearer TOKEN".
/// @returns the caller; its kind is Nobody where the token is missing or known to no one.
Caller
FindCaller(std::string_view aAuthorization, const HttpAccess& aAccess);

} // namespace by
