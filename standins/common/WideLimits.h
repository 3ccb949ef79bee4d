#pragma once

#include <cstdint>

#include "by_schema/ConnectionLimits.h"

namespace by::standins {

/// @returns limits that no process of the system meets: its appends may be large, and it keeps idle
/// connections for longer than callers do.
inline ConnectionLimits
WideLimits()
{
  return ConnectionLimits::Create({ .mBodyBytes = std::int64_t{ 64 } * 1024 * 1024,
                                    .mIdleTimeout = Time::FromSeconds(600) })
    .value();
}

} // namespace by::standins
