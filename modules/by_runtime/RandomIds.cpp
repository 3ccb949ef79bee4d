#include "by_runtime/RandomIds.h"

#include "absl/random/random.h"
#include "absl/strings/str_format.h"

#include "by_runtime/MachineClock.h"

namespace by {

namespace {

constexpr unsigned kRandomBits = 16;
constexpr std::uint64_t kRandomLimit = std::uint64_t{ 1 } << kRandomBits;

absl::BitGen&
Generator()
{
  thread_local absl::BitGen generator;
  return generator;
}

} // namespace

std::string
DrawId()
{
  const auto high = absl::Uniform<std::uint64_t>(Generator());
  const auto low = absl::Uniform<std::uint64_t>(Generator());
  return absl::StrFormat("%016x%016x", high, low);
}

std::uint64_t
DrawIncarnation()
{
  const auto started = static_cast<std::uint64_t>(MachineNow().Milliseconds());
  return (started << kRandomBits) | absl::Uniform<std::uint64_t>(Generator(), 0, kRandomLimit);
}

} // namespace by
