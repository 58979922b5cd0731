// Watches of a store that comes back from an older copy.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "store-watch-fixture.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::detail;

TEST_CASE("a store that came back older is listed, not watched from a revision "
          "that it gives out again") {
  watch_test Test;
  Test.answer(200, OneObject, "1");
  CHECK(Test.Heard.ListedAsOf == inEra(1, 5));
  Test.answer(200, OneChange, "1");
  CHECK(Test.Heard.ReadTo == inEra(1, 9));
  CHECK(Test.target().find("watch=9") != std::string::npos);
  // The changes that the store lost, and those before, are not in the events.
  Test.answer(200, OneChange, "2");
  CHECK(Test.target() == Test.listTarget());
  CHECK(Test.Heard.Changed.size() == 1);
  CHECK(Test.Heard.ReadTo == inEra(1, 9));
  Test.answer(200, OneObject, "2");
  CHECK(Test.Heard.ListedAsOf == inEra(2, 5));
  CHECK(Test.Heard.Revisions.back() == inEra(2, 3));
  CHECK(Test.target().find("watch=5") != std::string::npos);
  Test.answer(200, OneChange, "2");
  CHECK(Test.Heard.Revisions.back() == inEra(2, 9));
  CHECK(Test.Heard.ReadTo == inEra(2, 9));
  CHECK(Test.Watch->counts().Lists == 2);
  CHECK(Test.Heard.Lost == 0);
}

TEST_CASE("pages of two eras are no list") {
  watch_test Test;
  Test.answer(200, FirstOfPages, "1");
  CHECK(Test.target().find("after=a") != std::string::npos);
  Test.answer(200, OneObject, "2");
  CHECK(Test.Heard.Lists == 0);
  CHECK(Test.target() == Test.listTarget());
  Test.answer(200, FirstOfPages, "2");
  // The second page is of an earlier era: asked for again.
  Test.answer(200, OneObject, "1");
  CHECK(Test.Heard.Lists == 0);
  CHECK(Test.target().find("after=a") != std::string::npos);
  Test.answer(200, OneObject, "2");
  CHECK(Test.Heard.Listed == 2);
  CHECK(Test.Heard.ListedAsOf == inEra(2, 5));
}

TEST_CASE("an answer of an earlier era, or of none, is not used") {
  watch_test Test;
  Test.answer(200, OneObject, "2");
  Test.answer(200, OneChange, "1");
  CHECK(Test.Heard.Changed.empty());
  CHECK(Test.Heard.Lost == 1);
  REQUIRE(Test.Heard.Failed.size() == 1);
  CHECK(Test.Heard.Failed[0].Call == "watch");
  CHECK(Test.target().find("watch=5") != std::string::npos);
  Test.answer(410, "", "1");
  CHECK(Test.target().find("watch=5") != std::string::npos);
  Test.answer(200, OneChange);
  CHECK(Test.Heard.Changed.empty());
  Test.answer(200, OneChange, "nonsense");
  CHECK(Test.Heard.Changed.empty());
  CHECK(Test.Heard.Failed.size() == 4);
  CHECK(Test.Heard.Back == 0);
  Test.runFor(std::chrono::milliseconds(1'200));
  Test.answer(200, OneChange, "2");
  CHECK(Test.Heard.Changed.size() == 1);
  CHECK(Test.Heard.Back == 1);
  CHECK(Test.Watch->counts().Lists == 1);
}

TEST_CASE("an era that alternates does not make a watch list for ever") {
  watch_test Test;
  Test.answer(200, OneObject, "1");
  for (int I = 0; I < 4; ++I) {
    Test.answer(200, Test.target() == Test.listTarget() ? OneObject : NoChange,
                "2");
    Test.answer(200, Test.target() == Test.listTarget() ? OneObject : NoChange,
                "1");
  }
  CHECK(Test.Watch->counts().Lists <= 3);
  CHECK(Test.Heard.ListedAsOf == inEra(2, 5));
  CHECK(Test.Heard.Lists == 2);
}

TEST_CASE("a refusal that states a later era makes the watch list") {
  watch_test Test;
  Test.answer(200, OneObject, "1");
  Test.answer(503, "", "2");
  CHECK(Test.target() == Test.listTarget());
  CHECK(Test.Heard.Failed[0].Call == "watch");
  Test.answer(200, OneObject, "2");
  CHECK(Test.Heard.ListedAsOf == inEra(2, 5));
}

TEST_CASE("lost history of a later era is told and read anew") {
  watch_test Test;
  std::vector<store_era> Told;
  Test.Reach.setOnLaterEra([&Told](store_era Era) { Told.push_back(Era); });
  Test.answer(200, OneObject, "1");
  Test.answer(410, "", "3");
  CHECK(Told == std::vector<store_era>{store_era(3)});
  CHECK(Test.target() == Test.listTarget());
  // Whoever is told asks for a check, which the list is.
  std::size_t Calls = Test.Client.Requests.size();
  Test.Watch->check();
  CHECK(Test.Client.Requests.size() == Calls);
  Test.answer(200, OneObject, "3");
  Test.answer(200, NoChange, "3");
  CHECK(Told.size() == 1);
  CHECK(Test.Heard.ListedAsOf == inEra(3, 5));
}

TEST_CASE("a later era that one watch sees makes the others list at once") {
  watch_test Test;
  std::vector<store_era> Told;
  Test.Reach.setOnLaterEra([&Told](store_era Era) { Told.push_back(Era); });
  heard_objects OtherHeard;
  std::shared_ptr<store_watch> Other = std::make_shared<store_watch>(
      Test.Context, Test.Client, endpoint("10.0.0.1:1"),
      platform::EntryHostKind,
      watch_rules{std::chrono::milliseconds(5),
                  std::chrono::milliseconds(30'000),
                  std::chrono::milliseconds(30'000), true},
      8, Test.Reach, OtherHeard);
  Other->start();
  // The first statement is no reason to begin the first list again.
  Test.answerCall(0, 200, OneObject, "1");
  CHECK(Test.Client.Requests.size() == 2);
  Test.answerCall(1, 200, OneObject, "1");
  Test.settle();
  REQUIRE(Test.Client.Requests.size() == 4);
  CHECK(Test.Client.Cancelled == 0);
  std::size_t Mine = Test.Client.Requests[2].Target.find(
                         platform::BackendKind) != std::string::npos
                         ? 2
                         : 3;
  Test.answerCall(Mine, 200, NoChange, "2");
  CHECK(Told == std::vector<store_era>{store_era(2)});
  CHECK(Test.Client.Cancelled == 1);
  REQUIRE(Test.Client.Requests.size() == 6);
  // What is seconds old could be from before the return.
  CHECK(Test.Client.Requests[4].Target ==
        platform::listTarget(platform::EntryHostKind, ""));
  CHECK(Test.Client.Requests[5].Target == Test.listTarget());
  Test.answerCall(4, 200, OneObject, "2");
  CHECK(OtherHeard.Lists == 2);
  CHECK(OtherHeard.ListedAsOf == inEra(2, 5));
  Test.settle();
  CHECK(Test.target() ==
        platform::watchTarget(platform::EntryHostKind, inEra(2, 5),
                              std::chrono::milliseconds(30'000), true));
  CHECK(Told.size() == 1);
  Other->stop();
  Test.Watch->stop();
}

TEST_CASE("an answer from before the store's return does not end the call "
          "beside it") {
  watch_test Test;
  Test.answer(200, OneObject, "2");
  Test.fail();
  std::size_t First = Test.Client.Requests.size() - 1;
  Test.runFor(StoreAnswerTime + std::chrono::milliseconds(200));
  REQUIRE(Test.Client.Requests.size() == First + 2);
  Test.answerCall(First, 200, OneChange, "1");
  CHECK(Test.Heard.Changed.empty());
  CHECK(Test.Client.Cancelled == 0);
  Test.answerCall(First + 1, 200, OneChange, "2");
  CHECK(Test.Heard.Changed.size() == 1);
  CHECK(Test.Heard.Back == 1);
}

TEST_CASE("a watch on demand lists with the next check after a later era") {
  watch_test Test;
  Test.answer(200, OneObject, "1");
  Test.Watch->setOnDemand(true);
  std::size_t Calls = Test.Client.Requests.size();
  Test.Reach.noteEra(store_era(2), nullptr);
  Test.runFor(std::chrono::milliseconds(200));
  CHECK(Test.Client.Requests.size() == Calls);
  Test.Watch->check();
  CHECK(Test.target() == Test.listTarget());
  Test.answer(200, OneObject, "2");
  CHECK(Test.Heard.ListedAsOf == inEra(2, 5));
  CHECK(Test.Client.Requests.size() == Calls + 1);
  // A check that finds the later era by itself.
  Test.Watch->check();
  Test.answer(200, OneChange, "3");
  CHECK(Test.Heard.Changed.empty());
  CHECK(Test.target() == Test.listTarget());
  Test.answer(200, OneObject, "3");
  CHECK(Test.Heard.ListedAsOf == inEra(3, 5));
}

TEST_CASE("what a peer tells of another era does not move a watch") {
  watch_test Test;
  Test.answer(200, OneObject, "2");
  Test.Watch->setOnDemand(true);
  Test.Watch->check();
  std::size_t Calls = Test.Client.Requests.size();
  // An earlier one does not end a check.
  Test.Watch->onTold(inEra(1, 900));
  Test.answer(200, OneChange, "2");
  CHECK(Test.Heard.Changed.size() == 1);
  Test.Watch->onTold(inEra(1, 900));
  Test.Watch->check();
  CHECK(Test.target().find("watch=9&") != std::string::npos);
  Test.answer(200, NoChange, "2");
  CHECK(Test.Client.Requests.size() == Calls + 1);
  // A later one does not say what is gone.
  Test.Watch->onTold(inEra(3, 4));
  CHECK(Test.Client.Requests.size() == Calls + 1);
  Test.Watch->check();
  CHECK(Test.target() == Test.listTarget());
  Test.answer(200, OneObject, "3");
  Test.Watch->onTold(inEra(3, 7));
  Test.Watch->check();
  CHECK(Test.target().find("watch=7&") != std::string::npos);
}

TEST_CASE("an exchange tells the header that its request names") {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor(
      Context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  boost::asio::ip::tcp::socket Peer(Context);
  std::string Text = "HTTP/1.1 410 Gone\r\nstore-era: 12\r\n"
                     "Content-Length: 0\r\n\r\n";
  std::array<char, 1'000> Received{};
  Acceptor.async_accept(Peer, [&](const boost::system::error_code &) {
    Peer.async_read_some(boost::asio::buffer(Received),
                         [&](const boost::system::error_code &, std::size_t) {
                           boost::asio::write(Peer, boost::asio::buffer(Text));
                         });
  });
  class heard_header final : public exchange_listener {
  public:
    bool onStreamText(std::string_view) override { return false; }
    void onAnswerHeader(std::string_view Text) override { Value = Text; }
    void onComplete(unsigned Code, std::string) override { Status = Code; }
    void onFailed(exchange_failure) override {}
    std::string Value;
    unsigned Status = 0;
  };
  std::shared_ptr<heard_header> Heard = std::make_shared<heard_header>();
  std::unique_ptr<http_client> Client = makeHttpClient(Context);
  exchange_request Request;
  Request.Address =
      endpoint("127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
  Request.Target = "/";
  Request.AnswerHeader = platform::StoreEraHeader;
  Request.Timeout = std::chrono::seconds(5);
  std::shared_ptr<http_exchange> Exchange =
      Client->start(std::move(Request), Heard);
  for (int I = 0; I < 500 && Heard->Status == 0; ++I)
    Context.run_for(std::chrono::milliseconds(10));
  CHECK(Heard->Status == 410);
  CHECK(Heard->Value == "12");
}
