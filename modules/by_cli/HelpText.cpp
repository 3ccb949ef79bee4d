#include "by_cli/HelpText.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "by_cli/detail/CommandForm.h"

namespace by {

namespace {

constexpr const char* kUsage = "Usage: bergamotyard COMMAND [OPTION...] [OPERAND]\n"
                               "\n"
                               "Talks to an entry node of bergamotyard.\n"
                               "\n"
                               "Commands:\n";

constexpr const char* kRest = "\n"
                              "  bergamotyard COMMAND --help   shows the options of a command\n"
                              "  bergamotyard --version        shows the version\n"
                              "\n"
                              "Environment: BERGAMOTYARD_NODE (ADDRESS:PORT), BERGAMOTYARD_TOKEN\n"
                              "\n"
                              "Exit codes:\n"
                              "  0  as asked\n"
                              "  1  refused, or the work did not run or failed\n"
                              "  2  the command line, a file or the call is at fault\n"
                              "  3  the node can't be reached; nothing was done\n"
                              "  4  unknown: it may or may not have been done\n"
                              "  5  conflict: another change or use of the label came first\n";

} // namespace

std::string
HelpText(std::string_view aTopic)
{
  if (const auto* form = detail::FindForm(aTopic)) {
    return detail::OptionsOf(*form).help({ "", "Call" });
  }
  std::string text = kUsage;
  for (const auto& form : detail::CommandForms()) {
    const auto line = absl::StrCat(std::string(form.mName), " ", std::string(form.mOperands));
    absl::StrAppendFormat(&text, "  %-22s %s\n", line, std::string(form.mSummary));
  }
  return text + kRest;
}

} // namespace by
