#pragma once

/// Module by_http
///
/// Purpose: serves callers and operators over HTTP. Routing a call and writing a reply are free
/// functions; the server only moves bytes.
/// Dependencies: by_web, by_json, by_telemetry, Boost.Beast.

#include "by_http/Authorize.h"
#include "by_http/HttpServer.h"
#include "by_http/Replies.h"
#include "by_http/RouteCall.h"
