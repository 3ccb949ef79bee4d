#include "by_entry/detail/Settings.h"

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"

namespace by::detail {

void
ApplySettings(EntryState& aState, const SettingsRead& aEvent, Effects& aOut)
{
  if (!aEvent.Error().empty()) {
    Log(aOut,
        "settings.unreadable",
        aState.mSettings.Node(),
        absl::StrCat("kept=settings in force fault=", aEvent.Error()));
    return;
  }
  const auto& read = aEvent.Settings();
  const auto merged = read.WithNode(aState.mSettings.Node())
                        .WithIncarnation(aState.mSettings.Incarnation())
                        .WithLink(aState.mSettings.Link());
  const bool needsRestart = aEvent.NeedsRestart() || read.Node() != aState.mSettings.Node() ||
                            read.Link() != aState.mSettings.Link();
  Log(aOut,
      "settings.reloaded",
      aState.mSettings.Node(),
      absl::StrCat("changed=", merged != aState.mSettings, " needs_restart=", needsRestart));
  aState.mSettings = merged;
  if (aState.mCell) {
    aState.mCell->mSettings = merged.Cell();
  }
}

} // namespace by::detail
