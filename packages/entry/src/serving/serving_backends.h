// Carries out the serving core's calls to backend servers and tells the core
// what becomes of them.
#pragma once

#include "backend_call.h"
#include "jasminecroft/core/serving/serving_core.h"
#include "platform/head_writer.h"

#include <unordered_map>

namespace jasminecroft::detail {

/// Hears what becomes of calls; the shell adds the time.
class backend_results {
public:
  virtual ~backend_results() = default;
  virtual void onCompleteReply(call_id Call, const backend_reply_head &Head,
                               std::string Body) = 0;
  virtual void onStreamHead(call_id Call, const backend_reply_head &Head) = 0;
  virtual void onStreamEvents(call_id Call, std::string Text,
                              std::uint64_t First, std::uint64_t Last) = 0;
  virtual void onStreamEnd(call_id Call) = 0;
  virtual void onStatedLimit(call_id Call, const stated_limit &Stated) = 0;
  virtual void onServerLeaving(const backend_entry &Server) = 0;
  virtual void onServerPause(const backend_entry &Server,
                             const stated_pause &Stated) = 0;
  virtual void onServerCold(const backend_entry &Server,
                            core_duration Left) = 0;
  virtual void onCallFailed(call_id Call, call_failure Failure) = 0;
  virtual void onPiecesAnswered(call_id Call,
                                const std::vector<batch_item_result> &Results,
                                const std::optional<backend_load> &Load) = 0;
  virtual void onPiecesRefused(call_id Call, bool WrongServer) = 0;
  virtual void onServerLoad(const backend_id &Server,
                            const std::optional<pieces_load> &Load) = 0;
  /// Handles of an answer that cannot be used, and the first of them.
  virtual void onUnusableHandles(const backend_entry &Server, std::size_t Count,
                                 const std::string &First) = 0;
  /// A call was not sent. CallerId is empty for calls of no single request.
  virtual void onUnwritable(const backend_entry &Server,
                            const caller_request_id &CallerId,
                            const platform::unwritable_head &Head) = 0;
  /// Bytes of the answer that the request's caller has not read.
  virtual std::size_t unreadBytes(request_id Request) const = 0;
};

class serving_backends {
public:
  serving_backends(boost::asio::io_context &Context, backend_results &Results,
                   connection_pool::server_list Listed = nullptr,
                   held_memory *Account = nullptr)
      : Context(Context), Results(Results),
        Pool(std::make_shared<connection_pool>(Context, std::move(Listed),
                                               Account)) {}

  void forward(call_id Call, call_permit Permit, const forward_call &Forward);
  void runPieces(call_id Call, call_permit Permit,
                 const std::vector<batch_item> &Items, core_duration Timeout);
  void freeResults(call_permit Permit,
                   const std::vector<result_handle> &Handles);
  void readServer(call_permit Permit);
  void cancel(call_id Call);
  /// The call has ended and is no longer known.
  void forget(call_id Call) { Calls.erase(Call); }
  connection_counters counters() const { return Pool->Counters; }

private:
  bool takeText(platform::written_head Written, const backend_entry &Server,
                backend_call_request &Request);
  void failLater(call_id Call);

  boost::asio::io_context &Context;
  backend_results &Results;
  std::shared_ptr<connection_pool> Pool;
  std::unordered_map<call_id, std::shared_ptr<backend_call>> Calls;
};

} // namespace jasminecroft::detail
