// The replay window: each message once, and none of a run that is over.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/wire/replay_window.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

namespace {

using clock = replay_window::clock;

constexpr clock::time_point Now{std::chrono::seconds(100)};

host_run runOf(const char *Host, std::uint64_t Run) {
  return {entry_host_id(Host), incarnation(Run)};
}

} // namespace

TEST_CASE("a message is taken once, also out of order") {
  replay_window Window;
  host_run Sender = runOf("e1", 1);
  CHECK(Window.accept(Sender, 10, Now));
  CHECK_FALSE(Window.accept(Sender, 10, Now));
  CHECK(Window.accept(Sender, 8, Now));
  CHECK_FALSE(Window.accept(Sender, 8, Now));
  CHECK(Window.accept(Sender, 12, Now));
  CHECK_FALSE(Window.accept(Sender, 10, Now));
  CHECK(Window.accept(Sender, 11, Now));
}

TEST_CASE("a message too old to tell is refused") {
  replay_window Window;
  host_run Sender = runOf("e1", 1);
  CHECK(Window.accept(Sender, 1'000, Now));
  CHECK_FALSE(Window.accept(Sender, 1'000 - replay_window::Width, Now));
  CHECK(Window.accept(Sender, 1'000 - replay_window::Width + 1, Now));
}

TEST_CASE("a later run starts anew and an earlier one is over") {
  replay_window Window;
  CHECK(Window.accept(runOf("e1", 2), 500, Now));
  CHECK(Window.accept(runOf("e1", 3), 1, Now));
  CHECK_FALSE(Window.accept(runOf("e1", 2), 501, Now));
  CHECK(Window.accept(runOf("e2", 1), 1, Now));
}

TEST_CASE("a host that starts anew after its clock went back is not shut out") {
  replay_window Window;
  CHECK(Window.accept(runOf("e1", 9), 500, Now));
  clock::time_point Restarted = Now + replay_window::SilentRunTime;
  CHECK_FALSE(Window.accept(runOf("e1", 7), 1, Now));
  CHECK(Window.accept(runOf("e1", 7), 2, Restarted));
  CHECK_FALSE(Window.accept(runOf("e1", 7), 2, Restarted));
  CHECK(Window.accept(runOf("e1", 7), 3, Restarted));
}

TEST_CASE("an earlier run is over as long as the later one is heard") {
  replay_window Window;
  CHECK(Window.accept(runOf("e1", 9), 1, Now));
  clock::time_point Later = Now + replay_window::SilentRunTime / 2;
  CHECK(Window.accept(runOf("e1", 9), 2, Later));
  clock::time_point AfterFirst = Now + replay_window::SilentRunTime;
  CHECK_FALSE(Window.accept(runOf("e1", 7), 1, AfterFirst));
}
