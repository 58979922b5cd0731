// Lists and watches of the platform's store, over a client that tests control.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "store-watch-fixture.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::detail;

TEST_CASE("after one list there are only watches") {
  watch_test Test;
  Test.answer(200, OneObject);
  REQUIRE(Test.Client.Requests.size() == 2);
  CHECK(Test.target().find("watch=5") != std::string::npos);
  Test.answer(200, R"({"events":[{"object":{"meta":{"name":"b","revision":8},)"
                   R"("spec":{}}}],"current_rev":8})");
  CHECK(Test.target().find("watch=8") != std::string::npos);
  Test.answer(200, R"({"events":[],"current_rev":8})");
  CHECK(Test.target().find("watch=8") != std::string::npos);
  CHECK(Test.Heard.Lists == 1);
  CHECK(Test.Heard.Changed == std::vector<std::string>{"b"});
}

TEST_CASE("a watch that may be old says so and is not repeated at once") {
  watch_test Test(true);
  CHECK(Test.target() == platform::listTarget(platform::BackendKind, "", true));
  CHECK(Test.target() != platform::listTarget(platform::BackendKind, ""));
  Test.answer(200, OneObject);
  REQUIRE(Test.Client.Requests.size() == 2);
  CHECK(Test.target() ==
        platform::watchTarget(platform::BackendKind, object_version(5),
                              std::chrono::milliseconds(10'000), true));
  // Old data came at once, and no news.
  Test.Client.Listeners.back()->onComplete(200,
                                           R"({"events":[],"current_rev":4})");
  Test.Context.restart();
  Test.Context.run_for(std::chrono::milliseconds(300));
  CHECK(Test.Client.Requests.size() == 2);
  Test.Context.run_for(std::chrono::milliseconds(900));
  REQUIRE(Test.Client.Requests.size() == 3);
  CHECK(Test.target().find("watch=5") != std::string::npos);
}

TEST_CASE("all pages are read before the list counts") {
  watch_test Test;
  Test.answer(200, R"({"entries":[{"meta":{"name":"a","revision":3},)"
                   R"("spec":{}}],"has_more":true,"current_rev":5})");
  CHECK(Test.Heard.Lists == 0);
  CHECK(Test.target().find("after=a") != std::string::npos);
  Test.answer(200, R"({"entries":[{"meta":{"name":"b","revision":6},)"
                   R"("spec":{}}],"has_more":false,"current_rev":9})");
  CHECK(Test.Heard.Listed == 2);
  // Changes between the pages come with the watch.
  CHECK(Test.target().find("watch=5") != std::string::npos);
}

TEST_CASE("lost history is read anew, a failed watch goes on where it was") {
  watch_test Test;
  Test.answer(200, OneObject);
  Test.fail();
  CHECK(Test.Heard.Lost == 1);
  CHECK(Test.target().find("watch=5") != std::string::npos);
  Test.answer(200, R"({"events":[],"current_rev":6})");
  CHECK(Test.Heard.Back == 1);
  Test.answer(410, "");
  CHECK(Test.target().find("watch") == std::string::npos);
  Test.answer(200, OneObject);
  CHECK(Test.Heard.Lists == 2);
}

TEST_CASE("each call that fails, and each begun while the store is away, is "
          "reported") {
  watch_test Test;
  Test.answer(200, OneObject);
  CHECK(Test.Heard.Begun.empty());
  Test.fail();
  Test.answer(503, "");
  REQUIRE(Test.Heard.Failed.size() == 2);
  CHECK(Test.Heard.Failed[0].Call == "watch");
  CHECK(Test.Heard.Failed[0].Why == "not connected");
  CHECK(Test.Heard.Failed[1].Why == "status 503");
  REQUIRE(Test.Heard.Begun.size() == 2);
  CHECK(Test.Heard.Begun[0].Kind == platform::BackendKind);
  CHECK(Test.Heard.Begun[0].Limit.count() > 0);
  CHECK(Test.Watch->silence() >= std::chrono::milliseconds(50));
}

TEST_CASE("a call to a silent store does not hold up the next one") {
  watch_test Test;
  Test.answer(200, OneObject);
  Test.fail();
  std::size_t First = Test.Client.Requests.size() - 1;
  CHECK(Test.target() == platform::watchTarget(platform::BackendKind,
                                               object_version(5),
                                               std::chrono::milliseconds(1)));
  Test.runFor(StoreAnswerTime + std::chrono::milliseconds(200));
  REQUIRE(Test.Client.Requests.size() == First + 2);
  // A slow store's answer to the first one still counts.
  Test.Client.Listeners[First]->onComplete(200,
                                           R"({"events":[],"current_rev":6})");
  CHECK(Test.Heard.Back == 1);
  CHECK(Test.target() ==
        platform::watchTarget(platform::BackendKind, object_version(6),
                              std::chrono::milliseconds(10'000)));
  std::size_t Before = Test.Client.Requests.size();
  Test.Client.Listeners[First + 1]->onComplete(
      200, R"({"events":[],"current_rev":9})");
  CHECK(Test.Client.Requests.size() == Before);
  CHECK(Test.Client.Cancelled == 1);
}

TEST_CASE("one watch tries while the store is away, and all ask anew when it "
          "answers") {
  watch_test Test;
  heard_objects OtherHeard;
  std::shared_ptr<store_watch> Other = std::make_shared<store_watch>(
      Test.Context, Test.Client, endpoint("10.0.0.1:1"), platform::ConfigKind,
      watch_rules{std::chrono::milliseconds(5)}, 8, Test.Reach, OtherHeard);
  Test.answer(200, OneObject);
  Other->start();
  Test.answer(200, OneObject);
  REQUIRE(Test.Client.Requests.size() == 4);
  std::size_t OtherWatch = 3;
  // The other's watch waits on; this one fails and is answered again.
  Test.Client.Listeners[1]->onFailed(exchange_failure::Broken);
  Test.settle();
  REQUIRE(Test.Client.Requests.size() == 5);
  Test.Client.Listeners[4]->onComplete(200, R"({"events":[],"current_rev":6})");
  CHECK(Test.Client.Requests.size() == 7);
  // Both lose the store: only the first to fail tries.
  Test.Client.Listeners[5]->onFailed(exchange_failure::Broken);
  Test.Client.Listeners[6]->onFailed(exchange_failure::Broken);
  Test.Client.Listeners[OtherWatch]->onFailed(exchange_failure::Broken);
  Test.settle();
  REQUIRE(Test.Client.Requests.size() == 8);
  // Its try stays without an answer; the other one's later try has one.
  Test.runFor(std::chrono::milliseconds(2'000));
  std::size_t Tries = Test.Client.Requests.size();
  CHECK(Tries > 9);
  Test.Client.Listeners[Tries - 1]->onComplete(
      200, R"({"events":[],"current_rev":7})");
  CHECK(Test.Client.Requests.size() >= Tries + 2);
  Other->stop();
  Test.Watch->stop();
}

TEST_CASE("connecting has a time of its own, far below that of a watch") {
  watch_test Test;
  Test.answer(200, OneObject);
  const exchange_request &Watch = Test.Client.Requests.back();
  CHECK(Watch.ConnectTimeout.count() > 0);
  CHECK(Watch.ConnectTimeout <= std::chrono::seconds(1));
  CHECK(Watch.Timeout > std::chrono::seconds(5));
}

TEST_CASE("failures make calls rarer, but never rare") {
  retry_pause Pause(3);
  std::chrono::milliseconds First = Pause.next();
  std::chrono::milliseconds Last{0};
  for (int I = 0; I < 10; ++I)
    Last = Pause.next();
  CHECK(First < std::chrono::milliseconds(200));
  CHECK(Last > std::chrono::milliseconds(1'000));
  CHECK(Last < std::chrono::milliseconds(2'000));
  Pause.reset();
  CHECK(Pause.next() < std::chrono::milliseconds(200));
}

TEST_CASE("a watch on demand asks only when it is told to") {
  watch_test Test;
  Test.answer(200, OneObject);
  REQUIRE(Test.Client.Requests.size() == 2);
  Test.Watch->setOnDemand(true);
  CHECK(Test.Client.Cancelled == 1);
  Test.runFor(std::chrono::milliseconds(200));
  CHECK(Test.Client.Requests.size() == 2);
  Test.Watch->onTold(object_version(9));
  Test.Watch->check();
  REQUIRE(Test.Client.Requests.size() == 3);
  CHECK(Test.target() == platform::watchTarget(platform::BackendKind,
                                               object_version(9),
                                               std::chrono::milliseconds(1)));
  Test.answer(200, R"({"events":[],"current_rev":11})");
  CHECK(Test.Client.Requests.size() == 3);
  Test.Watch->setOnDemand(false);
  CHECK(Test.target().find("watch=11") != std::string::npos);
  CHECK(Test.Watch->counts().Lists == 1);
  CHECK(Test.Watch->counts().Watches == 1);
  CHECK(Test.Watch->counts().Checks == 2);
}

TEST_CASE(
    "a failed check on demand is given up once a peer tells the changes") {
  watch_test Test;
  Test.answer(200, OneObject);
  Test.Watch->setOnDemand(true);
  Test.Watch->check();
  Test.fail();
  std::size_t Tries = Test.Client.Requests.size();
  CHECK(Tries > 3);
  Test.Watch->onTold(object_version(9));
  Test.runFor(std::chrono::milliseconds(2'500));
  CHECK(Test.Client.Requests.size() == Tries);
}

TEST_CASE("a first list goes on although the watch is on demand") {
  watch_test Test;
  Test.Watch->setOnDemand(true);
  Test.fail();
  CHECK(Test.Client.Requests.size() == 2);
  Test.answer(200, OneObject);
  CHECK(Test.Heard.Lists == 1);
  CHECK(Test.Client.Requests.size() == 2);
}

// review/1: the watch asked again from the same revision for ever.
TEST_CASE("an unreadable object does not stop a list or a watch") {
  watch_test Test;
  Test.answer(200, R"({"entries":[{"meta":{"name":"\udcff"},"spec":{}},)"
                   R"({"meta":{"name":"a","revision":3},"spec":{}}],)"
                   R"("has_more":false,"current_rev":5})");
  CHECK(Test.Heard.Lists == 1);
  CHECK(Test.Heard.Listed == 1);
  CHECK(Test.Heard.Unreadable == 1);
  Test.answer(200, R"({"events":[{"object":7},{"object":{"meta":{"name":"b",)"
                   R"("revision":8},"spec":{"x":1e999}}}],"current_rev":8})");
  CHECK(Test.Heard.Changed == std::vector<std::string>{"b"});
  CHECK(Test.Heard.Unreadable == 2);
  CHECK(Test.Heard.Lost == 0);
  CHECK(Test.target().find("watch=8") != std::string::npos);
}

TEST_CASE("a large answer leaves the link to requests before the next read") {
  watch_test Test;
  std::string Large =
      R"({"entries":[{"meta":{"name":"a","revision":3},"spec":{"s":")" +
      std::string(500'000, 'x') + R"("}}],"has_more":false,"current_rev":5})";
  Test.answer(200, Large.c_str());
  std::size_t Calls = Test.Client.Requests.size();
  CHECK(Calls == 1);
  Test.Watch->check();
  CHECK(Test.Client.Requests.size() == Calls);
  Test.runFor(std::chrono::milliseconds(600));
  CHECK(Test.Client.Requests.size() == Calls + 1);
}

TEST_CASE("a check that is asked for during another one is made after it") {
  watch_test Test;
  Test.answer(200, OneObject);
  Test.Watch->setOnDemand(true);
  Test.Watch->check();
  std::size_t Calls = Test.Client.Requests.size();
  Test.Watch->check();
  CHECK(Test.Client.Requests.size() == Calls);
  Test.answer(200, R"({"events":[],"current_rev":6})");
  CHECK(Test.Client.Requests.size() == Calls + 1);
}
