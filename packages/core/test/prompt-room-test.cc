// Tests of the bound of long prompts, its book, and the estimates behind it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/prompt_room.h"

#include "serving-fixture.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const backend_id A("a");
const backend_id B("b");
const pool_id Pool("engine");
constexpr core_duration Bound = milliseconds(400);
constexpr core_duration Patient = seconds(60);

class room_fixture {
public:
  prompt_grant book(std::uint64_t Request,
                    const std::vector<prompt_offer> &Offers,
                    core_duration HoldAtMost = Patient) {
    return Room.book(key(Request), Offers, Bound, HoldAtMost, Now);
  }
  static prompt_key key(std::uint64_t Request) {
    return {{entry_host_id("h"), incarnation(1)}, request_id(Request), 1};
  }

  prompt_room Room;
  core_time Now{seconds(100)};
};

backend_entry engineEntry(std::uint64_t Run) {
  backend_entry Entry;
  Entry.Id = A;
  Entry.Run = incarnation(Run);
  return Entry;
}

} // namespace

TEST_CASE(
    "an engine gets long prompts up to the bound and the next ones later") {
  room_fixture Test;
  CHECK(Test.book(1, {{A, milliseconds(200)}}).In == core_duration{0});
  CHECK(Test.book(2, {{A, milliseconds(200)}}).In == core_duration{0});
  CHECK(Test.book(3, {{A, milliseconds(200)}}).In == milliseconds(200));
  // The third one counts from now on: a fourth one waits for two ends.
  CHECK(Test.book(4, {{A, milliseconds(300)}}).In == milliseconds(400));
  CHECK(Test.Room.readings(Test.Now).at(A) == milliseconds(900));
}

TEST_CASE("one prompt alone is always allowed, however long") {
  room_fixture Test;
  CHECK(Test.book(1, {{A, seconds(9)}}).In == core_duration{0});
  CHECK(Test.book(2, {{A, seconds(5)}}).In == seconds(9));
}

TEST_CASE("another candidate than the first is named if the wait for it is "
          "shorter by half of the reading time") {
  room_fixture Test;
  std::vector<prompt_offer> Offers = {{A, milliseconds(350)},
                                      {B, milliseconds(300)}};
  CHECK(Test.book(1, Offers).Server == A);
  CHECK(Test.book(2, Offers).Server == B);
  prompt_grant Third = Test.book(3, Offers);
  CHECK(Third.Server == A);
  CHECK(Third.In == milliseconds(350));
  prompt_grant Fourth = Test.book(4, Offers);
  CHECK(Fourth.Server == B);
  CHECK(Fourth.In == milliseconds(300));
  Test.Room.end(room_fixture::key(1));
  Test.Room.end(room_fixture::key(3));
  prompt_grant Fifth = Test.book(5, Offers);
  CHECK(Fifth.Server == A);
  CHECK(Fifth.In == core_duration{0});
}

TEST_CASE("a prompt that would be held too long is sent at once") {
  room_fixture Test;
  Test.book(1, {{A, milliseconds(400)}});
  CHECK(Test.book(2, {{A, milliseconds(400)}}, milliseconds(399)).In ==
        core_duration{0});
}

TEST_CASE("a prompt is booked once for each sending") {
  room_fixture Test;
  Test.book(1, {{A, milliseconds(400)}});
  CHECK(Test.book(1, {{A, milliseconds(400)}}).In == core_duration{0});
  CHECK(Test.Room.count() == 1);
}

TEST_CASE("a booking whose end is not told ends by time") {
  room_fixture Test;
  Test.book(1, {{A, milliseconds(400)}});
  Test.Now += milliseconds(500);
  // Longer than expected: a while more.
  core_duration Overdue = Test.book(2, {{A, milliseconds(400)}}).In;
  CHECK(Overdue > core_duration{0});
  CHECK(Overdue <= milliseconds(200));
  Test.Room.end(room_fixture::key(2));
  Test.Now += seconds(1);
  CHECK(Test.book(3, {{A, milliseconds(400)}}).In == core_duration{0});
  CHECK(Test.Room.count() == 1);
}

TEST_CASE("the bound follows the shortest objective of a ranked pool") {
  route_config Config = *serving_fixture::config();
  CHECK(findPromptBounds(Config).empty());
  Config.Routes[3].Priority = 2;
  REQUIRE(findPromptBounds(Config).contains(Pool));
  CHECK(findPromptBounds(Config).size() == 1);
  CHECK_FALSE(findPromptBounds(Config).at(Pool).GoalsDiffer);
  Config.Routes[2].Goal = milliseconds(800);
  prompt_bound Found = findPromptBounds(Config).at(Pool);
  CHECK(Found.GoalsDiffer);
  CHECK(Found.Reading == milliseconds(200));
  CHECK(Found.isLong(milliseconds(100)));
  CHECK_FALSE(Found.isLong(milliseconds(99)));
}

TEST_CASE("reading time follows the quickest first events of larger prompts") {
  reading_speed Speed;
  core_time Now{seconds(100)};
  for (int I = 0; I < 9; ++I)
    Speed.observe(Pool, 100, milliseconds(80), Now);
  CHECK(Speed.timeFor(Pool, 5'000, Now) == milliseconds(500));
  for (int I = 0; I < 9; ++I) {
    if (I == 3)
      CHECK(Speed.timeFor(Pool, 5'000, Now) == milliseconds(500));
    Speed.observe(Pool, 2'000, milliseconds(I % 3 == 0 ? 100 : 900), Now);
  }
  CHECK(Speed.timeFor(Pool, 5'000, Now) == milliseconds(250));
  CHECK(Speed.timeFor(Pool, 5'000, Now + seconds(61)) == milliseconds(500));
}

TEST_CASE("parts count as cached at one run, in order, for a while") {
  read_parts Parts;
  core_time Now{seconds(100)};
  std::vector<prompt_block> Prompt = {{1, 1'000}, {2, 500}, {3, 200}};
  CHECK(Parts.uncached(engineEntry(1), Prompt, 1'700, Now) == 1'700);
  Parts.onRead(engineEntry(1), {{1, 1'000}, {3, 200}}, Now);
  CHECK(Parts.uncached(engineEntry(1), Prompt, 1'700, Now) == 700);
  CHECK(Parts.uncached(engineEntry(2), Prompt, 1'700, Now) == 1'700);
  CHECK(Parts.uncached(engineEntry(1), Prompt, 1'700, Now + seconds(60)) ==
        1'700);
}

namespace {

const host_run Peer{entry_host_id("h1"), incarnation(1)};
constexpr std::uint32_t LongTokens = 6'000;

// A host whose routes to the engines have two priorities and objectives, and a
// peer that keeps the book.
class prompt_fixture : public serving_fixture {
public:
  prompt_fixture() {
    std::shared_ptr<route_config> Config = config();
    Config->Routes[3].Priority = 2;
    Config->Routes[3].Goal = seconds(3);
    Config->Routes[3].Timeout = seconds(9);
    Core.onConfig(Config, "text", Now);
    addServers("engine", 3);
  }

  void addPeers(int Count) {
    for (int I = 1; I <= Count; ++I) {
      std::string Name = "h" + std::to_string(I);
      Core.onHost(
          {entry_host_id(Name), zone_id("z0"), endpoint(Name + ":1"), 1'000},
          Now);
    }
  }

  request_id sendLong() {
    return sendRequest("resumable", {}, "key", {{++LastPart, LongTokens}});
  }

  /// The question about the latest long prompt, and whom it was put to.
  std::optional<std::pair<entry_host_id, prompt_room_request>> asked() const {
    std::optional<std::pair<entry_host_id, prompt_room_request>> Result;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const prompt_room_request *Body =
              std::get_if<prompt_room_request>(&Message.second))
        Result = {Message.first, *Body};
    return Result;
  }

  /// The same with so many peers that one of them is asked.
  std::pair<entry_host_id, prompt_room_request> askPeer() {
    addPeers(20);
    sendLong();
    REQUIRE(asked());
    return *asked();
  }

  void answer(const std::pair<entry_host_id, prompt_room_request> &Asked,
              const backend_id &Server, core_duration In) {
    Core.onPeer({Asked.first, incarnation(1)},
                prompt_room_reply{Asked.second.Request, Asked.second.Attempt,
                                  Server, In},
                Now);
  }

  std::uint64_t LastPart = 100;
};

} // namespace

TEST_CASE("a long prompt is held until the time that the book names") {
  prompt_fixture Test;
  std::pair<entry_host_id, prompt_room_request> Asked = Test.askPeer();
  CHECK(Asked.second.Candidates.size() == 3);
  CHECK(Asked.second.Candidates.front().Tokens == LongTokens);
  CHECK(Test.Actions.Forwards.empty());
  backend_id Second = Asked.second.Candidates[1].Server;
  Test.answer(Asked, Second, milliseconds(300));
  Test.advance(milliseconds(299));
  CHECK(Test.Actions.Forwards.empty());
  Test.advance(milliseconds(2));
  REQUIRE(Test.Actions.Forwards.size() == 1);
  CHECK(Test.lastForward().Server.Id == Second);
  CHECK(Test.Core.counters().PromptsHeld == 1);
  CHECK(Test.Core.counters().PromptsUnanswered == 0);
  // The first event ends the booking.
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  CHECK(Test.sentTo<prompt_read>(Asked.first) == 0);
  Test.Core.onStreamEvents(Call, "1", 1, 1, Test.Now);
  CHECK(Test.sentTo<prompt_read>(Asked.first) == 1);
}

TEST_CASE("a long prompt goes on at once if the host of the book is silent") {
  prompt_fixture Test;
  std::pair<entry_host_id, prompt_room_request> Asked = Test.askPeer();
  Test.advance(milliseconds(60));
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(Test.Core.counters().PromptsUnanswered == 1);
  // A late answer changes nothing, and the host is not asked for a while.
  Test.sendLong();
  CHECK(Test.Actions.Forwards.size() == 2);
  Test.answer(Asked, Asked.second.Candidates[1].Server, seconds(1));
  CHECK(Test.Actions.Forwards.size() == 2);
  CHECK(Test.Core.counters().PromptsAsked == 1);
  Test.advance(seconds(1));
  request_id Later = Test.sendLong();
  CHECK(Test.asked()->second.Request == Later);
}

TEST_CASE("a caller that leaves ends the booking of its held prompt") {
  prompt_fixture Test;
  std::pair<entry_host_id, prompt_room_request> Asked = Test.askPeer();
  Test.answer(Asked, Asked.second.Candidates[0].Server, milliseconds(300));
  Test.Core.onCallerDisconnected(Asked.second.Request, Test.Now);
  CHECK(Test.sentTo<prompt_read>(Asked.first) == 1);
  Test.advance(seconds(1));
  CHECK(Test.Actions.Forwards.empty());
}

TEST_CASE(
    "an engine that admits nothing any more is not used despite a grant") {
  prompt_fixture Test;
  std::pair<entry_host_id, prompt_room_request> Asked = Test.askPeer();
  backend_id Granted = Asked.second.Candidates[0].Server;
  Test.answer(Asked, Granted, milliseconds(300));
  Test.Core.onPeer(Peer, server_leaving{Granted, incarnation(1)}, Test.Now);
  Test.advance(milliseconds(301));
  REQUIRE(Test.Actions.Forwards.size() == 1);
  CHECK(Test.lastForward().Server.Id != Granted);
  CHECK(Test.sentTo<prompt_read>(Asked.first) == 1);
}

TEST_CASE("a host that keeps the book spreads long prompts by itself") {
  prompt_fixture Test;
  std::set<backend_id> Used;
  for (int I = 0; I < 3; ++I) {
    Test.sendLong();
    Used.insert(Test.lastForward().Server.Id);
  }
  CHECK(Test.Actions.Forwards.size() == 3);
  CHECK(Used.size() == 3);
  Test.sendLong();
  CHECK(Test.Actions.Forwards.size() == 3);
  Test.advance(seconds(1));
  CHECK(Test.Actions.Forwards.size() == 4);
}

TEST_CASE("where requests have one priority, nobody asks for room") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("stream", {}, "key", {{1, 60'000}});
  Test.sendRequest("stream", {}, "key", {{2, 60'000}});
  CHECK(Test.Actions.Forwards.size() == 2);
  CHECK(Test.Core.counters().PromptsAsked == 0);
}
