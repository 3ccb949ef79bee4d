#include "by_config/ApplyConfigPublish.h"

#include "by_config/ConfigFold.h"
#include "by_schema/ConfigPublish.h"

namespace by {

bool
ApplyConfigPublish(ConfigFold& aFold, const ConfigPublish& aChange, Time aAt)
{
  const auto version = aFold.mCurrent.Version();
  if (aChange.BaseVersion() != version) {
    return false;
  }
  aFold.mCurrent = ConfigRow::Create({ .mVersion = version + 1,
                                       .mAt = aAt,
                                       .mOperatorName = aChange.OperatorName(),
                                       .mDocument = aChange.Document() })
                     .value();
  return true;
}

bool
RestoreConfig(ConfigFold& aFold, const ConfigRow& aRow)
{
  if (aRow.Version() <= aFold.mCurrent.Version()) {
    return false;
  }
  aFold.mCurrent = aRow;
  return true;
}

} // namespace by
