#pragma once

/// Module by_platform
///
/// Purpose: calls the platform's log and list of VMs and turns the answers into events of a node.
/// Dependencies: by_client, by_json, by_schema.

#include "by_platform/LogCodec.h"
#include "by_platform/PlatformClient.h"
