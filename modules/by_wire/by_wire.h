#pragma once

/// Module by_wire
///
/// Purpose: what entry nodes say to each other, encoded with cereal, over UDP and TCP.
/// Dependencies: by_core, by_schema, cereal, Boost.Asio.

#include "by_wire/LengthPrefix.h"
#include "by_wire/PeerLinks.h"
#include "by_wire/WireCodec.h"
#include "by_wire/WireHooks.h"
