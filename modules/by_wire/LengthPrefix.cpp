#include "by_wire/LengthPrefix.h"

namespace by {

namespace {

constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

} // namespace

std::string
WithLength(const std::string& aBytes)
{
  std::string framed;
  framed.reserve(kLengthSize + aBytes.size());
  for (unsigned k = kLengthSize; k-- > 0;) {
    framed.push_back(static_cast<char>((aBytes.size() >> (kByteBits * k)) & kByteMask));
  }
  return framed + aBytes;
}

} // namespace by
