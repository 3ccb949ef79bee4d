#pragma once

#include <cstddef>
#include <cstdint>

namespace by {

/// A histogram of times; kHistogramTexts tells what each shows.
enum class HistogramName : std::uint8_t
{
  RequestWait,
  RequestRun,
};

/// How many histograms there are.
constexpr std::size_t kHistogramNames = 2;

} // namespace by
