#pragma once

#include <cstdint>
#include <string>

namespace by {

/// Draws 128 random bits.
/// @returns 32 hexadecimal digits.
std::string
DrawId();

/// Draws a process incarnation: the start time with random low bits.
/// @returns a number above zero; a process that starts later draws a larger one.
std::uint64_t
DrawIncarnation();

} // namespace by
