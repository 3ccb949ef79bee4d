#pragma once

/// Module by_backend
///
/// Purpose: calls backend servers and turns their answers into events of a node.
/// Dependencies: by_client, by_json, by_schema.

#include "by_backend/BackendClient.h"
