// What the readers of answers tell of their calls, counted.
#pragma once

#include "../../../entry/src/http_exchange.h"
#include "../../../entry/src/serving/serving_backends.h"

#include <string>
#include <vector>

namespace jasminecroft::processes {

/// Answers to calls to backend servers.
class counted_results final : public detail::backend_results {
public:
  void onCompleteReply(call_id, const backend_reply_head &Head,
                       std::string) override {
    ++Whole;
    LastStatus = Head.Status;
  }
  void onStreamHead(call_id, const backend_reply_head &) override { ++Heads; }
  void onStreamEvents(call_id, std::string, std::uint64_t,
                      std::uint64_t) override {
    ++Events;
  }
  void onStreamEnd(call_id) override { ++Whole; }
  void onStatedLimit(call_id, const stated_limit &) override { ++Statements; }
  void onServerLeaving(const backend_entry &) override { ++Statements; }
  void onServerPause(const backend_entry &, const stated_pause &) override {
    ++Statements;
  }
  void onServerCold(const backend_entry &, core_duration) override {
    ++Statements;
  }
  void onCallFailed(call_id, call_failure Failure) override {
    ++Failed;
    Broken += Failure == call_failure::Broken ? 1 : 0;
  }
  void onPiecesAnswered(call_id, const std::vector<batch_item_result> &,
                        const std::optional<backend_load> &) override {
    ++Whole;
  }
  void onPiecesRefused(call_id, bool) override { ++Whole; }
  void onServerLoad(const backend_id &,
                    const std::optional<pieces_load> &Load) override {
    Whole += Load ? 1 : 0;
    Failed += Load ? 0 : 1;
    Broken += Load ? 0 : 1;
  }
  void onUnusableHandles(const backend_entry &, std::size_t,
                         const std::string &) override {}
  void onUnwritable(const backend_entry &, const caller_request_id &,
                    const platform::unwritable_head &) override {
    ++Unwritable;
  }
  std::size_t unreadBytes(request_id) const override { return 0; }

  int Whole = 0;
  unsigned LastStatus = 0;
  int Heads = 0;
  int Events = 0;
  int Statements = 0;
  /// In any way, and of these the ones that were broken.
  int Failed = 0;
  int Broken = 0;
  int Unwritable = 0;
};

class counted_exchange final : public detail::exchange_listener {
public:
  bool onStreamText(std::string_view) override { return true; }
  void onComplete(unsigned, std::string) override { ++Whole; }
  void onFailed(detail::exchange_failure Failure) override {
    ++Failed;
    Broken += Failure == detail::exchange_failure::Broken ? 1 : 0;
  }

  int Whole = 0;
  /// In any way, and of these the ones that were broken.
  int Failed = 0;
  int Broken = 0;
};

inline backend_entry entryAt(const endpoint &Address) {
  backend_entry Entry;
  Entry.Id = backend_id("i-1");
  Entry.Address = Address;
  return Entry;
}

inline call_permit permitFor(const endpoint &Address,
                             admission_purpose Purpose) {
  backend_directory Servers;
  call_admission Admission(Servers, [](const backend_id &) { return true; });
  backend_entry Entry = entryAt(Address);
  Servers.update(Entry);
  return *Admission.admit(Entry.Id, {Purpose}, core_time());
}

/// A call of a caller with this id.
inline forward_call callTo(const endpoint &Address, const std::string &Id,
                           bool Streamed) {
  std::shared_ptr<caller_message> Message = std::make_shared<caller_message>();
  Message->Method = "POST";
  Message->Target = "/a/";
  Message->Hostname = "a.example";
  forward_call Call;
  Call.Server = entryAt(Address);
  Call.Message = std::move(Message);
  Call.CallerId = caller_request_id(Id);
  Call.TimeLeft = std::chrono::seconds(5);
  Call.Streamed = Streamed;
  return Call;
}

} // namespace jasminecroft::processes
