#pragma once

#include <chrono>

namespace by {

/// @returns the processor time that the calling thread has used.
std::chrono::nanoseconds
ThreadProcessorTime();

} // namespace by
