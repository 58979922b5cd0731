// The first configuration of a host that starts among others.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;

namespace {

const entry_host_id Peer("h1");

/// Has heard of a peer and the servers, and has read version 1 from the store.
class first_config_fixture : public serving_fixture {
public:
  first_config_fixture() {
    Core.onHost({Peer, zone_id("z0"), endpoint("h1:1"), 1'000}, Now);
    addServers("plain", 3);
    configure();
  }

  void peerUses(std::uint64_t Version) {
    host_heartbeat Heartbeat;
    Heartbeat.Self = {Peer, zone_id("z0"), endpoint("h1:1"), 1'000};
    Heartbeat.Config = config_version(Version);
    Core.onPeer({Peer, incarnation(1)}, Heartbeat, Now);
  }

  bool refusesUnready() {
    request_id Request = sendRequest("plain");
    const std::vector<refusal> &Refused = Actions.Refusals[Request];
    return Refused.size() == 1 && Refused[0].Kind == refusal_kind::NotReady;
  }

  bool logged(event_number Number) const {
    return std::any_of(Actions.Log.begin(), Actions.Log.end(),
                       [Number](const event_record &Record) {
                         return Record.Number == Number;
                       });
  }
};

} // namespace

// Guards against CONFIG of store-restored-start-test: 404 for a route that the
// store's older copy lacks.
TEST_CASE("a host that starts does not use a configuration that is behind its "
          "peers'") {
  first_config_fixture Test;
  CHECK_FALSE(Test.Core.ready());
  CHECK(Test.refusesUnready());
  Test.peerUses(2);
  CHECK_FALSE(Test.Core.ready());
  CHECK(Test.refusesUnready());
  // It asks at once, not after the time in which changes spread.
  CHECK(Test.sentTo<operator_config_pull>(Peer) == 1);
  Test.Core.onConfig(serving_fixture::config(2), "text", Test.Now);
  CHECK(Test.Core.ready());
  CHECK_FALSE(Test.refusesUnready());
  CHECK_FALSE(Test.logged(event_number::ConfigUnconfirmed));
}

TEST_CASE("a peer confirms the configuration of a host that starts") {
  first_config_fixture Test;
  SUBCASE("it uses the same version") { Test.peerUses(1); }
  SUBCASE("after one that knows no configuration") {
    Test.peerUses(0);
    CHECK_FALSE(Test.Core.ready());
    Test.peerUses(1);
  }
  CHECK(Test.Core.ready());
  CHECK_FALSE(Test.refusesUnready());
}

TEST_CASE(
    "a host does not take itself for alone before it has read the list of "
    "hosts") {
  recorded_actions Actions;
  core_time Now{std::chrono::seconds(1'000)};
  // It is one of the seeds.
  serving_settings Settings = serving_fixture::settings("h0");
  Settings.Seeds = {Settings.PeerAddress};
  serving_core Core(Settings, Actions);
  Core.start(Now);
  backend_entry Server;
  Server.Id = backend_id("s");
  Server.Pool = pool_id("plain");
  Core.onBackend(Server, Now);
  Core.onConfig(serving_fixture::config(), "text", Now);
  CHECK_FALSE(Core.ready());
  SUBCASE("it is alone") {
    Core.onHostsRead(Now);
    CHECK(Core.ready());
  }
  SUBCASE("there are others") {
    Core.onHost({Peer, zone_id("z0"), endpoint("h1:1"), 1'000}, Now);
    Core.onHostsRead(Now);
    CHECK_FALSE(Core.ready());
    CHECK(std::any_of(Actions.Sent.begin(), Actions.Sent.end(),
                      [](const std::pair<entry_host_id, peer_body> &Message) {
                        const host_heartbeat *Asked =
                            std::get_if<host_heartbeat>(&Message.second);
                        return Message.first == Peer && Asked &&
                               Asked->WantsReply;
                      }));
  }
}

TEST_CASE("a host that no peer answers uses its configuration after a second") {
  first_config_fixture Test;
  Test.advance(milliseconds(900));
  CHECK_FALSE(Test.Core.ready());
  Test.advance(milliseconds(200));
  CHECK(Test.Core.ready());
  CHECK(Test.logged(event_number::ConfigUnconfirmed));
}
