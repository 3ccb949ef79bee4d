#include "by_cli/detail/FormatTeams.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "absl/strings/str_cat.h"

#include "by_cli/detail/ReadMetrics.h"
#include "by_cli/detail/TextTable.h"

namespace by::detail {

namespace {

constexpr std::string_view kPrefix = "bergamotyard_";
constexpr std::string_view kTeamPrefix = "bergamotyard_team_";
constexpr double kPercent = 100.0;
constexpr const char* kResources[] = { "cpu_millis", "memory_mb", "accelerators" };
constexpr const char* kReasons[] = { "quota", "rate" };

/// What the metrics say of one team: names such as "usage.cpu_millis", and their values.
using TeamValues = std::map<std::string, double>;

/// What the metrics of a node say of teams.
struct TeamsShown
{
  std::map<std::string, TeamValues> mTeams;
  /// The values without a team, by the metric's name without the prefix and the reason.
  TeamValues mNode;
};

/// @returns the name of a value: that of its metric, with the resource or the reason behind it.
std::string
NameOf(const MetricSample& aSample, std::string_view aPrefix)
{
  auto name = aSample.mName.substr(aPrefix.size());
  for (const auto* label : { "resource", "reason" }) {
    if (const auto it = aSample.mLabels.find(label); it != aSample.mLabels.end()) {
      absl::StrAppend(&name, ".", it->second);
    }
  }
  return name;
}

TeamsShown
Collect(std::string_view aMetrics)
{
  TeamsShown shown;
  for (const auto& sample : ReadMetrics(aMetrics, kPrefix)) {
    const auto team = sample.mLabels.find("team");
    if (team == sample.mLabels.end()) {
      shown.mNode[NameOf(sample, kPrefix)] = sample.mValue;
    } else if (sample.mName.starts_with(kTeamPrefix)) {
      shown.mTeams[team->second][NameOf(sample, kTeamPrefix)] = sample.mValue;
    }
  }
  return shown;
}

std::int64_t
ValueOf(const TeamValues& aValues, const std::string& aName)
{
  const auto it = aValues.find(aName);
  return it == aValues.end() ? 0 : static_cast<std::int64_t>(it->second);
}

std::string
FormatPercent(const TeamValues& aTeam)
{
  const auto it = aTeam.find("entitled_share");
  const auto percent = it == aTeam.end() ? 0.0 : it->second * kPercent;
  return absl::StrCat(std::llround(percent), "%");
}

/// @returns a row of the table; what only the owner of the cell knows is "-" elsewhere.
TextRow
RowOf(const std::string& aName, const TeamValues& aTeam, bool aOwnsCell)
{
  const auto known = [&](std::string aText) {
    return aOwnsCell ? std::move(aText) : std::string("-");
  };
  TextRow row{ aName, absl::StrCat(ValueOf(aTeam, "weight")), known(FormatPercent(aTeam)) };
  for (const auto* resource : kResources) {
    const auto quota = ValueOf(aTeam, absl::StrCat("quota.", resource));
    row.push_back(
      absl::StrCat(known(absl::StrCat(ValueOf(aTeam, absl::StrCat("usage.", resource)))),
                   "/",
                   quota == 0 ? std::string("-") : absl::StrCat(quota)));
  }
  row.push_back(known(absl::StrCat(ValueOf(aTeam, "open_jobs"))));
  row.push_back(known(absl::StrCat(ValueOf(aTeam, "waiting_steps"))));
  for (const auto* reason : kReasons) {
    row.push_back(absl::StrCat(ValueOf(aTeam, absl::StrCat("refused_calls_total.", reason))));
  }
  return row;
}

std::string
WriteTable(const TeamsShown& aShown)
{
  const auto& node = aShown.mNode;
  const bool ownsCell = ValueOf(node, "owns_cell") != 0;
  std::string text =
    absl::StrCat("configuration ",
                 ValueOf(node, "config_version"),
                 ", confirmed ",
                 ValueOf(node, "config_confirmed_age_seconds"),
                 " s ago, ",
                 ValueOf(node, "keys"),
                 " keys; refused for all teams: ",
                 ValueOf(node, "refused_calls_total.unauthorized"),
                 " unauthorized, ",
                 ValueOf(node, "refused_calls_total.unconfirmed"),
                 " unconfirmed\n",
                 ownsCell ? "" : "another node owns the cell and knows shares, usage and work\n");
  std::vector<TextRow> rows{ { "TEAM",
                               "WEIGHT",
                               "SHARE",
                               "CPU",
                               "MEMORY",
                               "ACCELERATORS",
                               "JOBS",
                               "WAITING",
                               "REFUSED-QUOTA",
                               "REFUSED-RATE" } };
  for (const auto& [name, team] : aShown.mTeams) {
    rows.push_back(RowOf(name, team, ownsCell));
  }
  return text + WriteColumns(rows);
}

std::string
WriteJson(const TeamsShown& aShown)
{
  boost::json::object teams;
  for (const auto& [name, team] : aShown.mTeams) {
    boost::json::object values;
    for (const auto& [key, value] : team) {
      values[key] = value;
    }
    teams[name] = std::move(values);
  }
  boost::json::object all{ { "config_version", ValueOf(aShown.mNode, "config_version") },
                           { "teams", std::move(teams) } };
  return boost::json::serialize(all) + "\n";
}

} // namespace

absl::StatusOr<std::string>
FormatTeams(std::string_view aMetrics, const std::string& aTeam, OutputFormat aFormat)
{
  auto shown = Collect(aMetrics);
  if (!aTeam.empty()) {
    std::erase_if(shown.mTeams, [&](const auto& aEntry) { return aEntry.first != aTeam; });
  }
  if (shown.mTeams.empty()) {
    return absl::NotFoundError(aTeam.empty()
                                 ? std::string("the node's configuration has no teams")
                                 : absl::StrCat("no team ", aTeam, " in the node's configuration"));
  }
  return aFormat == OutputFormat::Json ? WriteJson(shown) : WriteTable(shown);
}

} // namespace by::detail
