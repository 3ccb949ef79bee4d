#pragma once

/// Module by_links
///
/// Purpose: links between entry nodes: each node opens one to the owner of the cell, and both sides
/// send messages over it, encoded with cereal. Records of the cell are encoded the same way.
/// Dependencies: by_schema, by_wire, Boost.Asio.

#include "by_links/LinkClient.h"
#include "by_links/LinkDirection.h"
#include "by_links/LinkServer.h"
#include "by_links/RecordCodec.h"
