// One call to a backend server over pooled connections: raw bytes out, one
// answer back, whole or as a stream.
#pragma once

#include "../connection_pool.h"
#include "jasminecroft/core/serving/serving_core.h"
#include "platform/http_text.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace jasminecroft::detail {

struct backend_call_request {
  endpoint Address;
  std::string Text;
  /// Its body follows Text; absent: Text is all.
  std::shared_ptr<const caller_message> Message;
  /// The answer has to name it; empty if answers name nothing.
  caller_request_id CallerId;
  std::chrono::microseconds Timeout{0};
  /// False if a late copy of an answer could name this call's request too.
  bool MayReuseConnection = true;
  /// False if a late copy of the answer could be taken for that of a later
  /// call.
  bool KeepConnection = true;
  /// A successful event stream is handed on as it arrives.
  bool Streamed = false;
  /// The answer has no body.
  bool HeadOnly = false;
};

/// How an answer says that it is whole.
enum class answer_end {
  /// By its length or its last chunk.
  Framed,
  /// Only by the end of its connection, as if its server had ended.
  Closed,
};

/// Hears of a call, never before it was started and never after it was
/// cancelled. Nothing follows onWhole, onStreamEnd and onFailed.
class backend_call_listener {
public:
  virtual ~backend_call_listener() = default;
  virtual void onWhole(const platform::http_head &Head, std::string Body,
                       const connection_history &Connection) = 0;
  /// Whether the head of an answer is all that counts of it, so that onWhole
  /// may be told without a body that has been cut.
  virtual bool needsHeadOnly(const platform::http_head & /*Head*/,
                             const connection_history & /*Connection*/) const {
    return false;
  }
  virtual void onStreamHead(const platform::http_head &Head) = 0;
  virtual void onStreamText(std::string Text) = 0;
  virtual void onStreamEnd(answer_end End) = 0;
  virtual void onFailed(call_failure Failure) = 0;
  /// What the reader of the stream has not taken yet.
  virtual std::size_t unreadBytes() const { return 0; }
};

class backend_call {
public:
  virtual ~backend_call() = default;
  virtual void cancel() = 0;
};

std::shared_ptr<backend_call>
startBackendCall(boost::asio::io_context &Context,
                 const std::shared_ptr<connection_pool> &Pool,
                 backend_call_request Request,
                 std::shared_ptr<backend_call_listener> Listener);

} // namespace jasminecroft::detail
