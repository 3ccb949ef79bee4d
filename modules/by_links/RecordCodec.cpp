#include "by_links/RecordCodec.h"

#include "by_wire/BinaryCodec.h"
#include "by_wire/generated/cell_cereal.h"

namespace by {

std::string
EncodeRecord(const CellRecord& aRecord)
{
  return EncodeBinary(aRecord);
}

absl::StatusOr<CellRecord>
DecodeRecord(std::string_view aBytes)
{
  return DecodeBinary<CellRecord>(aBytes);
}

std::string
EncodeClaim(const CellClaim& aClaim)
{
  return EncodeBinary(aClaim);
}

absl::StatusOr<CellClaim>
DecodeClaim(std::string_view aBytes)
{
  return DecodeBinary<CellClaim>(aBytes);
}

std::string
EncodeMessage(const LinkMessage& aMessage)
{
  return EncodeBinary(aMessage);
}

absl::StatusOr<LinkMessage>
DecodeMessage(std::string_view aBytes)
{
  return DecodeBinary<LinkMessage>(aBytes);
}

} // namespace by
