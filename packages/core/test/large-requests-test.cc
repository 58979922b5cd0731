// Large requests while servers read slowly: they go where fewer bytes are in
// progress, and are never refused for their size.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace jasminecroft;

namespace {

constexpr std::size_t Bound = 1'000'000;

class large_requests_fixture : public serving_fixture {
public:
  large_requests_fixture() {
    addAllPools();
    std::shared_ptr<route_config> Config = config(2);
    Config->Bounds.MaxBodyBytes = Bound;
    Core.onConfig(Config, "text", Now);
  }

  /// The server that got the request; empty if none did.
  std::string send(std::size_t Bytes) {
    serving_request Request;
    Request.Number = request_id(++Last);
    Request.CallerId = caller_request_id("large" + std::to_string(Last));
    caller_message Message;
    Message.Method = "POST";
    Message.Hostname = "a.example";
    Message.Target = "/once/";
    Message.Body.assign(Bytes, 'x');
    Request.Message =
        std::make_shared<const caller_message>(std::move(Message));
    Request.Key = workspace_key("key");
    std::size_t Before = Actions.Forwards.size();
    Core.onRequest(std::move(Request), Now);
    return Actions.Forwards.size() == Before
               ? ""
               : Actions.Forwards.at(Actions.LastForward).Server.Id.Value;
  }

private:
  std::uint64_t Last = 1'000;
};

} // namespace

TEST_CASE("large requests avoid the servers that have large ones in progress") {
  large_requests_fixture Test;
  std::set<std::string> Servers;
  std::string First = Test.send(Bound);
  call_id FirstCall = Test.Actions.LastForward;
  Servers.insert(First);
  Servers.insert(Test.send(Bound));
  Servers.insert(Test.send(Bound));
  CHECK(Servers.size() == 3);
  CHECK_FALSE(Servers.contains(""));
  // One reads on: the next large request is its.
  Test.Core.onCompleteReply(FirstCall, serving_fixture::successHead(), "",
                            Test.Now);
  CHECK(Test.send(Bound) == First);
}

TEST_CASE("no request is refused for its size if all servers have large ones") {
  large_requests_fixture Test;
  constexpr int Rounds = 4;
  for (int I = 0; I < 3 * Rounds; ++I)
    CHECK_FALSE(Test.send(Bound).empty());
  CHECK(Test.Actions.Refusals.empty());
}
