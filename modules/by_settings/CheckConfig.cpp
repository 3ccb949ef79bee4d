#include "by_settings/CheckConfig.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "by_scheduling/PolicyFrom.h"

namespace by {

namespace {

using Seen = absl::flat_hash_map<std::string, std::size_t>;

std::string
PlaceOf(std::size_t aIndex, std::string_view aKey)
{
  return absl::StrCat("teams[", aIndex, "].", std::string(aKey));
}

void
CheckNotNegative(const Resources& aQuota, const std::string& aPlace, Findings& aFindings)
{
  if (aQuota.CpuMillis() < 0 || aQuota.MemoryMb() < 0 || aQuota.Accelerators() < 0 ||
      aQuota.Slots() < 0) {
    aFindings.Add(aPlace, "has a negative amount");
  }
}

/// Adds a finding where a text stood before; the text itself is left out, as it may be secret.
void
CheckNew(Seen& aSeen,
         const std::string& aText,
         std::size_t aIndex,
         std::string_view aKey,
         Findings& aFindings)
{
  const auto [it, isNew] = aSeen.emplace(aText, aIndex);
  if (!isNew && !aText.empty()) {
    aFindings.Add(PlaceOf(aIndex, aKey), absl::StrCat("is the same as in teams[", it->second, "]"));
  }
}

void
CheckTeams(const std::vector<TeamConfig>& aTeams, Findings& aFindings)
{
  Seen names;
  Seen tokens;
  for (std::size_t i = 0; i < aTeams.size(); ++i) {
    const auto& team = aTeams[i];
    CheckNew(names, team.Team().Text(), i, "team", aFindings);
    CheckNew(tokens, team.Token(), i, "token", aFindings);
    if (team.Token().empty()) {
      aFindings.Add(PlaceOf(i, "token"), "is empty, so the team could not call");
    }
    CheckNotNegative(team.Quota(), PlaceOf(i, "quota"), aFindings);
    CheckNotNegative(team.RequestQuota(), PlaceOf(i, "request_quota"), aFindings);
  }
}

void
CheckPolicies(const ConfigDocument& aConfig, Findings& aFindings)
{
  const auto policy = PolicyFrom(aConfig);
  if (policy.ok()) {
    return;
  }
  const std::vector<std::string> lines =
    absl::StrSplit(std::string(policy.status().message()), '\n');
  for (const auto& line : lines) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(line, absl::MaxSplits(": ", 1));
    aFindings.Add(parts.first, parts.second);
  }
}

} // namespace

void
CheckConfig(const ConfigDocument& aConfig, Findings& aFindings)
{
  CheckTeams(aConfig.Teams(), aFindings);
  CheckPolicies(aConfig, aFindings);
}

} // namespace by
