#include "by_settings/ReadSettings.h"

#include <algorithm>
#include <array>

#include "by_core/Findings.h"
#include "by_json/JsonText.h"
#include "by_json/generated/config_json.h"
#include "by_json/generated/settings_json.h"
#include "by_settings/CheckConfig.h"
#include "by_settings/CheckSettings.h"

namespace by {

namespace {

constexpr std::array<std::string_view, 6> kConfigKeys{ "teams",        "placement_policy",
                                                       "queue_policy", "short_reserve_percent",
                                                       "short_limit",  "queue_limit" };

/// Reads a value and checks it, so that faults of both kinds are reported together.
template<class T>
absl::StatusOr<T>
ReadAndCheck(std::string_view aText, void (*aCheck)(const T&, Findings&))
{
  const auto parsed = ParseJson(aText);
  if (!parsed.ok()) {
    return parsed.status();
  }
  Findings findings;
  auto value = ReadJson(TypeTag<T>{}, *parsed, "", findings);
  aCheck(value, findings);
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  return value;
}

} // namespace

absl::StatusOr<NodeSettings>
ReadNodeSettings(std::string_view aText)
{
  return ReadAndCheck<NodeSettings>(aText, CheckSettings);
}

absl::StatusOr<ConfigDocument>
ReadConfigDocument(std::string_view aText)
{
  return ReadAndCheck<ConfigDocument>(aText, CheckConfig);
}

DocumentKind
GuessDocumentKind(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  const auto* object = parsed.ok() ? parsed->if_object() : nullptr;
  const bool config =
    object != nullptr &&
    std::any_of(kConfigKeys.begin(), kConfigKeys.end(), [object](std::string_view aKey) {
      return object->contains(aKey);
    });
  return config ? DocumentKind::Config : DocumentKind::NodeSettings;
}

absl::Status
CheckDocument(DocumentKind aKind, std::string_view aText)
{
  return aKind == DocumentKind::Config ? ReadConfigDocument(aText).status()
                                       : ReadNodeSettings(aText).status();
}

} // namespace by
