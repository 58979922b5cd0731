// A wait of bounded length, and no other before the caller has read.
#include "jasminecroft/core/serving/read_pacing.h"

namespace jasminecroft {

bool read_pacing::mayRead(std::size_t Unread, core_time Now) {
  bool Behind = WaitsSince || CatchingUp;
  if (Unread <= (Behind ? ResumeBytes : MaxAheadBytes)) {
    WaitsSince.reset();
    CatchingUp = false;
    return true;
  }
  if (CatchingUp)
    return true;
  if (!WaitsSince)
    WaitsSince = Now;
  if (Now - *WaitsSince < MaxReadWait)
    return false;
  WaitsSince.reset();
  CatchingUp = true;
  return true;
}

} // namespace jasminecroft
