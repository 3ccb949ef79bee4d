#pragma once

/// Module by_web
///
/// Purpose: a small HTTP/1.1 server: whole calls in, whole answers out, on one thread; and the
/// reading of calls within limits, which other servers share.
/// Dependencies: by_core, by_schema, Boost.Beast.

#include "by_web/CallLimits.h"
#include "by_web/CallReader.h"
#include "by_web/QueryText.h"
#include "by_web/RefusalReport.h"
#include "by_web/WebCapacity.h"
#include "by_web/WebRequest.h"
#include "by_web/WebServer.h"
#include "by_web/WebSession.h"
