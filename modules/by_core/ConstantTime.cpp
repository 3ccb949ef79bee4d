#include "by_core/ConstantTime.h"

#include <cstddef>

namespace by {

bool
EqualInConstantTime(std::string_view aSecret, std::string_view aGiven)
{
  volatile unsigned difference = aSecret.size() == aGiven.size() ? 0U : 1U;
  for (std::size_t i = 0; i < aGiven.size(); ++i) {
    const auto expected = aSecret.empty() ? '\0' : aSecret[i % aSecret.size()];
    difference = difference | static_cast<unsigned char>(expected ^ aGiven[i]);
  }
  return difference == 0;
}

} // namespace by
