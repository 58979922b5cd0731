// Registration of a host in the platform's store, over a client that tests
// control.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../src/serving/host_registration.h"

#include <doctest/doctest.h>
#include <thread>

using namespace jasminecroft;
using namespace jasminecroft::detail;
using std::chrono::milliseconds;

namespace {

/// Keeps requests; a test answers them.
class held_client final : public http_client {
public:
  class call final : public http_exchange {
  public:
    explicit call(int &Cancelled) : Cancelled(Cancelled) {}
    void cancel() override { ++Cancelled; }

  private:
    int &Cancelled;
  };
  std::shared_ptr<http_exchange>
  start(exchange_request Request,
        std::shared_ptr<exchange_listener> Listener) override {
    Requests.push_back(std::move(Request));
    Listeners.push_back(std::move(Listener));
    return std::make_shared<call>(Cancelled);
  }
  void closeIdle() override {}
  connection_counters counters() const override { return {}; }

  int Cancelled = 0;
  std::vector<exchange_request> Requests;
  std::vector<std::shared_ptr<exchange_listener>> Listeners;
};

class failed_calls final : public store_watch_listener {
public:
  void onObjects(std::string_view, const std::vector<platform::store_object> &,
                 object_version) override {}
  void onChange(std::string_view, const platform::store_object &) override {}
  void onUnreadable(std::string_view,
                    const platform::unreadable_object &) override {}
  void onReadTo(std::string_view, object_version) override {}
  void onStoreLost(std::string_view, std::string_view) override {}
  void onStoreBack(std::string_view) override {}
  void onCallBegun(const store_call_report &) override {}
  void onCallFailed(const store_call_report &Call) override {
    Failed.push_back(Call);
  }

  std::vector<store_call_report> Failed;
};

batching_host hostOf(const std::string &Name) {
  return {entry_host_id(Name), zone_id("z1"), endpoint("10.0.0.2:7"), 2'000};
}

class registration_test {
public:
  explicit registration_test(std::uint64_t Run = 7,
                             const std::string &Name = "h1")
      : Run(Run), Registration(std::make_shared<host_registration>(
                      Context, Client, endpoint("10.0.0.1:1"), hostOf(Name),
                      incarnation(Run), Heard)) {}

  void answer(unsigned Status, const std::string &Body = "") {
    Client.Listeners.back()->onComplete(Status, Body);
  }
  void fail() { Client.Listeners.back()->onFailed(exchange_failure::TimedOut); }
  void runFor(milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }
  std::size_t calls() const { return Client.Requests.size(); }
  exchange_method method() const { return Client.Requests.back().Method; }
  const std::string &body() const { return Client.Requests.back().Body; }
  /// What the store holds of this host, written by the given run.
  static std::string object(std::uint64_t Writer, std::uint64_t Revision) {
    return platform::encodeObject(
        "h1", platform::encodeEntryHost(hostOf("h1"), incarnation(Writer)),
        object_version(Revision));
  }

  /// The same as a watch tells it.
  static platform::store_object seen(std::uint64_t Writer,
                                     std::uint64_t Revision, bool Deleted) {
    return {"h1", object_version(Revision),
            platform::encodeEntryHost(hostOf("h1"), incarnation(Writer)),
            Deleted};
  }

  std::uint64_t Run;
  boost::asio::io_context Context;
  held_client Client;
  failed_calls Heard;
  std::shared_ptr<host_registration> Registration;
};

/// Longer than each pause between two calls.
constexpr milliseconds LongestWait{2'200};

} // namespace

TEST_CASE("a refused removal does not leave an ended host on the list") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->leave([] {});
  Test.answer(503);
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 3);
  CHECK(Test.method() == exchange_method::Delete);
  Test.fail();
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 4);
  CHECK(Test.method() == exchange_method::Delete);
  Test.answer(200);
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 4);
}

TEST_CASE("a creation that runs after the removal does not list a host that "
          "has left") {
  registration_test Test;
  Test.Registration->start();
  SUBCASE("it had no answer in time") { Test.fail(); }
  SUBCASE("it was not waited for") {}
  Test.Registration->leave([] {});
  Test.answer(404);
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() > 2);
  CHECK(Test.method() == exchange_method::Delete);
  Test.answer(200);
  Test.runFor(LongestWait);
  CHECK(Test.calls() > 3);
  CHECK(Test.method() == exchange_method::Delete);
}

TEST_CASE("a stop does not wait for a removal") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  int Done = 0;
  Test.Registration->leave([&Done] { ++Done; });
  Test.answer(503);
  CHECK(Done == 1);
  Test.Registration->stop();
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 2);
  CHECK(Done == 1);
}

TEST_CASE("a host whose object is lost with the store is listed again") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->verify();
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 2);
  CHECK(Test.method() == exchange_method::Post);
  Test.answer(201);
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 2);
}

TEST_CASE("an earlier run's object that comes back with the store is "
          "replaced") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(409, Test.object(3, 50));
  Test.answer(200);
  Test.Registration->verify();
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 3);
  Test.answer(409, Test.object(3, 40));
  REQUIRE(Test.calls() == 4);
  CHECK(Test.method() == exchange_method::Put);
  CHECK(Test.body() == Test.object(Test.Run, 40));
}

TEST_CASE("a host whose object is as it should be does not write it again") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->verify();
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 2);
  Test.answer(409, Test.object(Test.Run, 40));
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 2);
  CHECK(Test.Heard.Failed.empty());
}

TEST_CASE("the answer to a creation from before the store came back does not "
          "count") {
  registration_test Test;
  Test.Registration->start();
  Test.Registration->verify();
  CHECK(Test.Client.Cancelled == 1);
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 2);
  CHECK(Test.method() == exchange_method::Post);
}

TEST_CASE("a host that has left is not listed when the store has lost its "
          "removal") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->leave([] {});
  SUBCASE("the removal had an answer") { Test.answer(200); }
  SUBCASE("the removal is in progress") {}
  SUBCASE("the removal is to be tried again") { Test.answer(503); }
  Test.Registration->verify();
  REQUIRE(Test.calls() == 3);
  CHECK(Test.method() == exchange_method::Delete);
  Test.answer(200);
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 3);
}

TEST_CASE("a store that comes back twice is asked twice") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->verify();
  Test.Registration->verify();
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 2);
  Test.answer(201);
  Test.Registration->verify();
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 3);
  Test.Registration->verify();
  Test.Registration->stop();
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 3);
}

TEST_CASE("hosts that hear of a store's return together do not call it "
          "together") {
  constexpr int Hosts = 100;
  std::vector<std::unique_ptr<registration_test>> Fleet;
  std::size_t Called = 0;
  for (int I = 0; I < Hosts; ++I) {
    std::string Name = "h" + std::to_string(I);
    Fleet.push_back(std::make_unique<registration_test>(7, Name));
    Fleet.back()->Registration->start();
    Fleet.back()->answer(201);
  }
  for (const std::unique_ptr<registration_test> &Host : Fleet)
    Host->Registration->verify();
  std::this_thread::sleep_for(milliseconds(500));
  for (const std::unique_ptr<registration_test> &Host : Fleet) {
    Host->Context.restart();
    Host->Context.poll();
    Called += Host->calls() - 1;
  }
  CHECK(Called > 0);
  CHECK(Called < Hosts);
  std::this_thread::sleep_for(milliseconds(500));
  Called = 0;
  for (const std::unique_ptr<registration_test> &Host : Fleet) {
    Host->Context.restart();
    Host->Context.poll();
    Called += Host->calls() - 1;
  }
  CHECK(Called == Hosts);
}

TEST_CASE("a removal by an earlier run that runs late does not unlist a host") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(409, Test.object(3, 50));
  Test.answer(200);
  Test.Registration->onSeen(Test.seen(3, 52, true));
  Test.runFor(LongestWait);
  REQUIRE(Test.calls() == 3);
  CHECK(Test.method() == exchange_method::Post);
}

TEST_CASE("an object that the store tells of while its host has left is "
          "removed") {
  registration_test Test;
  Test.Registration->start();
  Test.answer(201);
  Test.Registration->leave([] {});
  Test.answer(200);
  Test.Registration->onSeen(Test.seen(Test.Run, 52, true));
  CHECK(Test.calls() == 2);
  Test.Registration->onSeen(Test.seen(Test.Run, 50, false));
  REQUIRE(Test.calls() == 3);
  CHECK(Test.method() == exchange_method::Delete);
}

TEST_CASE("an object that is as it should be causes no call") {
  registration_test Test;
  Test.Registration->start();
  Test.Registration->onSeen(Test.seen(3, 40, true));
  Test.Registration->onSeen(Test.seen(3, 41, false));
  Test.answer(201);
  Test.Registration->onSeen(Test.seen(Test.Run, 42, false));
  Test.runFor(LongestWait);
  CHECK(Test.calls() == 1);
  CHECK(Test.Client.Cancelled == 0);
}
