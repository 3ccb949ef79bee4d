#pragma once

#include "by_schema/LogRecord.h"

namespace by {

/// The content of a log record, before its writer assigns an id.
using LogRecordBody = decltype(LogRecord::Fields::mBody);

} // namespace by
