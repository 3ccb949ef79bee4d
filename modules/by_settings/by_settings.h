#pragma once

/// Module by_settings
///
/// Purpose: reads settings and configuration documents and finds every fault in them, also those
/// that no type can tell.
/// Dependencies: by_json, by_scheduling.

#include "by_settings/CheckConfig.h"
#include "by_settings/CheckSettings.h"
#include "by_settings/DocumentKind.h"
#include "by_settings/ReadSettings.h"
