#pragma once

/// Module by_cli
///
/// Purpose: the command-line tool: arguments become a typed command, a command becomes a call, and
/// its result becomes text and an exit code. Only RunTool() and RunTrace() read files, and only
/// RunTool() calls nodes.
/// Dependencies: by_client, by_settings, by_trace, cxxopts.

#include "by_cli/BuildCall.h"
#include "by_cli/FormatResult.h"
#include "by_cli/FormatTrace.h"
#include "by_cli/HelpText.h"
#include "by_cli/ParseArguments.h"
#include "by_cli/RunTool.h"
#include "by_cli/RunTrace.h"
