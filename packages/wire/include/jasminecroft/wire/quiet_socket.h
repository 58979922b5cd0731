// Whether an idle connection can be used for another call.
#pragma once

namespace jasminecroft {

/// Whether a connected socket has neither ended nor received anything that
/// nobody has read. What is read by no call would be taken for the answer to
/// the next one.
bool isQuiet(int Socket);

} // namespace jasminecroft
