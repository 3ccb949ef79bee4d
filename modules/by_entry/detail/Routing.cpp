#include "by_entry/detail/Routing.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace by::detail {

namespace {

constexpr std::size_t kJobNameLength = 16;

/// Removes the port that a caller may append to the host.
std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

const QueuePolicy*
FindQueue(const ClusterConfig& aConfig, std::string_view aHost, std::string_view aPath)
{
  const QueuePolicy* best = nullptr;
  for (const auto& queue : aConfig.Queues()) {
    if (absl::EqualsIgnoreCase(queue.Host(), std::string(WithoutPort(aHost))) &&
        aPath.starts_with(queue.PathPrefix()) &&
        (best == nullptr || queue.PathPrefix().size() > best->PathPrefix().size())) {
      best = &queue;
    }
  }
  return best;
}

bool
IsJobName(std::string_view aText)
{
  return aText.size() == kJobNameLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return absl::ascii_isxdigit(aCharacter);
         });
}

} // namespace by::detail
