#pragma once

#include <cstddef>

namespace by {

/// @returns whether workers of a rack were lost together for a reason of their own, such as power
/// or a switch, so that the crash of one of them says nothing about its tasks.
/// @param aLost the workers that were lost at about the same time, except for those under a trial.
/// @param aBusy the workers that had runs then, the lost ones included.
bool
IsWideLoss(std::size_t aLost, std::size_t aBusy);

/// @returns the same for the workers of a whole pool, of which tasks that come at the same time may
/// crash many.
bool
IsTotalLoss(std::size_t aLost, std::size_t aBusy);

} // namespace by
