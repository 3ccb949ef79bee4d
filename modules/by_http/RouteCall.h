#pragma once

#include "by_http/CallNames.h"
#include "by_http/HttpAccess.h"
#include "by_schema/IncomingCall.h"
#include "by_schema/RoutedCall.h"

namespace by {

/// Finds out what an HTTP call asks for and whether its caller may ask it.
/// @param aNames names that a new request or call takes.
/// @returns an event for the control thread, a page, or the reply that refuses the call.
RoutedCall
RouteCall(const IncomingCall& aCall, const HttpAccess& aAccess, const CallNames& aNames);

/// @returns whether a call asks for secret fields; only an operator's call gets any.
bool
AsksForSecrets(const IncomingCall& aCall);

} // namespace by
