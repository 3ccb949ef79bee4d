#include "by_core/Findings.h"

#include "absl/strings/str_cat.h"

namespace by {

void
Findings::Add(std::string aPlace, std::string aProblem)
{
  mAll.emplace_back(std::move(aPlace), std::move(aProblem));
}

absl::Status
Findings::ToStatus() const
{
  if (mAll.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  for (const auto& finding : mAll) {
    absl::StrAppend(&text, text.empty() ? "" : "\n", finding.Place(), ": ", finding.Problem());
  }
  return absl::InvalidArgumentError(text);
}

} // namespace by
