// A fake claim store and entry hosts with claim managers, for tests of claims.
#pragma once

#include "jasminecroft/core/detail/claim_manager.h"

#include <vector>

namespace claim_fixture {

using namespace jasminecroft;
using namespace jasminecroft::detail;
using ms = std::chrono::milliseconds;

// Queues the calls, so that each test answers them with the results it needs.
class fake_store final : public claim_store {
public:
  enum class kind { Create, Replace, Read };
  struct call {
    claim_call_id Id;
    claim_store_listener *Listener;
    kind Kind;
    claim_record Record;
    object_version Expected;
  };

  claim_call_id create(claim_store_listener &L,
                       const claim_record &R) override {
    return add({{}, &L, kind::Create, R, {}});
  }
  claim_call_id replace(claim_store_listener &L, const claim_record &R,
                        object_version Expected) override {
    return add({{}, &L, kind::Replace, R, Expected});
  }
  claim_call_id read(claim_store_listener &L, const object_key &) override {
    return add({{}, &L, kind::Read, {}, {}});
  }
  bool unavailable() const override { return Unavailable; }
  core_duration backoff() override { return ms(100); }

  // Applies the oldest call to the stored record and returns its result.
  claim_store_result apply() {
    const call &Call = Calls.front();
    if (Call.Kind == kind::Read)
      return Stored ? claim_store_result(claim_found{*Stored, Version})
                    : claim_absent{};
    bool Holds = Call.Kind == kind::Create ? !Stored
                                           : Stored && Version == Call.Expected;
    if (!Holds)
      return claim_conflict{};
    Stored = Call.Record;
    Version = Version.next();
    return claim_stored{Version};
  }
  void answer(const claim_store_result &Result) {
    call Call = Calls.front();
    Calls.erase(Calls.begin());
    Call.Listener->onClaimResult(Call.Id, Result);
  }
  void applyAndAnswer() { answer(apply()); }
  void applyAndLose() {
    apply();
    answer(claim_call_lost{});
  }
  void answerAllCalls() {
    while (!Calls.empty())
      applyAndAnswer();
  }

  std::vector<call> Calls;
  std::optional<claim_record> Stored;
  object_version Version;
  bool Unavailable = false;
  std::size_t CallCount = 0;

private:
  claim_call_id add(call Call) {
    Call.Id = claim_call_id(++CallCount);
    Calls.push_back(Call);
    return Call.Id;
  }
};

// Records the decisions that a claim manager reports.
class decision_recorder final : public claim_listener {
public:
  void onClaimDecided(claim_handle Claim,
                      const claim_decision &Decision) override {
    Handles.push_back(Claim);
    Decisions.push_back(Decision);
  }
  bool granted() const {
    return Decisions.size() == 1 &&
           std::holds_alternative<claim_granted>(Decisions[0]);
  }
  const claim_denied *denied() const {
    return Decisions.empty() ? nullptr
                             : std::get_if<claim_denied>(&Decisions.back());
  }
  const claim_already_done *alreadyDone() const {
    return Decisions.empty()
               ? nullptr
               : std::get_if<claim_already_done>(&Decisions.back());
  }
  std::vector<claim_handle> Handles;
  std::vector<claim_decision> Decisions;
};

inline core_settings settingsOf(const std::string &Name, std::uint64_t Run) {
  core_settings Settings;
  Settings.Fleet = fleet_id("test");
  Settings.Self = {entry_host_id(Name), incarnation(Run)};
  Settings.Zone = zone_id("z1");
  Settings.Address = endpoint(Name);
  for (const char *Peer : {"e1", "e2"})
    Settings.Seeds.push_back(
        {entry_host_id(Peer), zone_id("z1"), endpoint(Peer)});
  return Settings;
}

// An entry host with a claim manager; several may share a store.
struct host {
  explicit host(fake_store &Store, const std::string &Name = "e1",
                std::uint64_t Run = 1)
      : Context(settingsOf(Name, Run)), Members(Context),
        Manager(Context, Store, Members, Recorder) {
    Members.start();
    Context.begin(core_time{});
  }

  acquire_result startAcquire(std::uint64_t Body = 1) {
    claim_params Params;
    Params.CallNumber = CallNumber;
    Params.Workspace = workspace_id("w");
    Params.Key = idempotency_key("k");
    Params.Stage = stage_id("book");
    Params.Fingerprint = fingerprint(Body);
    Params.DecideBy = Context.now() + ms(750);
    Params.Deadline = Context.now() + ms(1000);
    return Manager.acquire(Params);
  }
  claim_handle acquire(std::uint64_t Body = 1) {
    return std::get<claim_handle>(startAcquire(Body));
  }
  void advance(ms By) {
    Context.begin(Context.now() + By);
    Manager.onWakeup();
  }
  // Returns the messages that this host has sent since the last call.
  std::vector<peer_message> sent() {
    std::vector<peer_message> Messages;
    for (const action &Action : Context.takeActions())
      if (const send_to_peer *Send = std::get_if<send_to_peer>(&Action))
        Messages.push_back(Send->Message);
    return Messages;
  }
  void receive(const peer_message &Message) {
    Members.onPeer(Message);
    Manager.onPeer(Message);
  }

  /// Call number that the next claim declares.
  std::optional<std::uint32_t> CallNumber;
  core_context Context;
  membership Members;
  decision_recorder Recorder;
  claim_manager Manager;
};

// Delivers messages between two hosts until there are none.
inline void exchangeMessages(host &A, host &B) {
  bool Any = true;
  while (Any) {
    Any = false;
    for (const peer_message &Message : A.sent()) {
      B.receive(Message);
      Any = true;
    }
    for (const peer_message &Message : B.sent()) {
      A.receive(Message);
      Any = true;
    }
  }
}

// Adds the run of each host to the membership of the other.
inline void connectHosts(host &A, host &B) {
  A.Members.onPeer({fleet_id("test"), B.Context.self(), rumor{}});
  B.Members.onPeer({fleet_id("test"), A.Context.self(), rumor{}});
}

} // namespace claim_fixture
