// A session as text: a line for each event, and under it a line for each
// action that the cores answered with.
//
//   setup hosts=e1,e2 pipeline=aB    two hosts; stage B must not repeat
//   > e1 request 1 key=k attempt=1 body=in deadline=1000 streamed
//   > e1 gone 1                      the caller closed its connection
//   > e1 succeed 3 out               attempt 3 answered as a whole
//   > e1 piece 3 0 text              one piece of a stream
//   > e1 end 3 2 whole               end of a stream of 2 pieces
//   > e1 fail 3 broken
//   > e1 shutdown
//   > e1 restart                     a new run; what it held is lost
//   > platform apply                 the oldest claim call, with its answer
//   > platform lose                  takes effect, its answer is lost
//   > platform drop                  no effect, no answer
//   > platform hold                  no answer; takes effect at `late`
//   > platform late
//   > platform refuse                certainly no effect
//   > deliver                        messages about claims between hosts
//   > lose                           the same messages are lost
//   > advance 500                    milliseconds
//   > pause 500                      the same, but all hosts are paused
//
// Lines that begin with two spaces are actions; `#` begins a comment.
#pragma once

#include <string>

namespace jasminecroft::testing {

/// Plays the events of Text and gives the text with the actions that came.
/// A line that cannot be read is answered by a line that begins with "  !".
std::string playSession(const std::string &Text);

} // namespace jasminecroft::testing
