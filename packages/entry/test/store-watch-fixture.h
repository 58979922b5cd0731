// A client that tests control, and a watch of the platform's store over it.
#pragma once

#include "../src/serving/store_watch.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft::detail {

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

class heard_objects final : public store_watch_listener {
public:
  void onObjects(std::string_view,
                 const std::vector<platform::store_object> &Objects,
                 object_version Current) override {
    ++Lists;
    Listed = Objects.size();
    ListedAsOf = Current;
    for (const platform::store_object &Object : Objects)
      Revisions.push_back(Object.Revision);
  }
  void onChange(std::string_view,
                const platform::store_object &Object) override {
    Changed.push_back(Object.Name);
    Revisions.push_back(Object.Revision);
  }
  void onUnreadable(std::string_view,
                    const platform::unreadable_object &) override {
    ++Unreadable;
  }
  void onReadTo(std::string_view, object_version Revision) override {
    ReadTo = Revision;
  }
  void onStoreLost(std::string_view, std::string_view) override { ++Lost; }
  void onStoreBack(std::string_view) override { ++Back; }
  void onCallBegun(const store_call_report &Call) override {
    Begun.push_back(Call);
  }
  void onCallFailed(const store_call_report &Call) override {
    Failed.push_back(Call);
  }

  int Lists = 0;
  std::size_t Listed = 0;
  object_version ListedAsOf;
  /// Of all objects, in the order in which they were handed on.
  std::vector<object_version> Revisions;
  std::vector<std::string> Changed;
  int Unreadable = 0;
  int Lost = 0;
  int Back = 0;
  object_version ReadTo;
  std::vector<store_call_report> Begun;
  std::vector<store_call_report> Failed;
};

class watch_test {
public:
  explicit watch_test(bool MayBeOld = false)
      : Watch(std::make_shared<store_watch>(
            Context, Client, endpoint("10.0.0.1:1"), platform::BackendKind,
            watch_rules{std::chrono::milliseconds(5),
                        std::chrono::milliseconds(10'000),
                        std::chrono::milliseconds(1'000), MayBeOld},
            7, Reach, Heard)) {
    Watch->start();
  }

  /// Answers the newest call and lets the watch make the next one.
  void answer(unsigned Status, const char *Body) {
    Client.Listeners.back()->onComplete(Status, Body);
    settle();
  }
  /// The same with the store's era.
  void answer(unsigned Status, const char *Body, const char *Era) {
    Client.Listeners.back()->onAnswerHeader(Era);
    answer(Status, Body);
  }
  /// Answers a call that is not the newest one.
  void answerCall(std::size_t Call, unsigned Status, const char *Body,
                  const char *Era) {
    Client.Listeners[Call]->onAnswerHeader(Era);
    Client.Listeners[Call]->onComplete(Status, Body);
  }
  std::string listTarget() const {
    return platform::listTarget(platform::BackendKind, "");
  }
  void fail() {
    Client.Listeners.back()->onFailed(exchange_failure::NotConnected);
    settle();
  }
  void settle() { runFor(std::chrono::milliseconds(400)); }
  void runFor(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }
  const std::string &target() const { return Client.Requests.back().Target; }

  boost::asio::io_context Context;
  held_client Client;
  heard_objects Heard;
  store_reach Reach;
  std::shared_ptr<store_watch> Watch;
};

inline constexpr const char *OneObject =
    R"({"entries":[{"meta":{"name":"a","revision":3},"spec":{}}],)"
    R"("has_more":false,"current_rev":5})";
inline constexpr const char *FirstOfPages =
    R"({"entries":[{"meta":{"name":"a","revision":3},"spec":{}}],)"
    R"("has_more":true,"current_rev":5})";
inline constexpr const char *OneChange =
    R"({"events":[{"object":{"meta":{"name":"b","revision":9},"spec":{}}}],)"
    R"("current_rev":9})";
inline constexpr const char *NoChange = R"({"events":[],"current_rev":5})";

inline object_version inEra(std::uint64_t Era, std::uint64_t Revision) {
  return {store_era(Era), Revision};
}

} // namespace jasminecroft::detail
