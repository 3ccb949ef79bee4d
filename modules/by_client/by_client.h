#pragma once

/// Module by_client
///
/// Purpose: asynchronous HTTP/1.1 calls over pooled connections, with a truthful outcome for each.
/// Dependencies: by_json, by_runtime, Boost.Asio, Boost.Beast.

#include "by_client/BlockingCall.h"
#include "by_client/CallEffect.h"
#include "by_client/HttpClient.h"
