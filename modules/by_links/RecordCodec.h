#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_schema/CellClaim.h"
#include "by_schema/CellRecord.h"
#include "by_schema/LinkMessage.h"

namespace by {

/// @returns the bytes of a record of the cell.
std::string
EncodeRecord(const CellRecord& aRecord);

/// @returns the record, or InvalidArgument where the bytes are not one.
absl::StatusOr<CellRecord>
DecodeRecord(std::string_view aBytes);

/// @returns the bytes of a claim.
std::string
EncodeClaim(const CellClaim& aClaim);

/// @returns the claim, or InvalidArgument where the bytes are not one.
absl::StatusOr<CellClaim>
DecodeClaim(std::string_view aBytes);

/// @returns the bytes of a message between nodes, without their length.
std::string
EncodeMessage(const LinkMessage& aMessage);

/// @returns the message, or InvalidArgument where the bytes are not one.
absl::StatusOr<LinkMessage>
DecodeMessage(std::string_view aBytes);

} // namespace by
