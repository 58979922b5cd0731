// HTTP/1.1 towards callers, operators and the balancer.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/entry/answer_text.h"
#include "jasminecroft/entry/supervised_part.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace jasminecroft {

/// Bounds on what callers may take of this host.
struct front_limits {
  std::size_t MaxConnections = 4'096;
  std::size_t MaxHeaderBytes = 16'384;
  std::size_t MaxBodyBytes = 16'777'216;
  /// Text of one stream that the caller has not read yet.
  std::size_t MaxUnsentBytes = 1'048'576;
  std::chrono::milliseconds IdleTimeout{75'000};
  std::chrono::milliseconds HeaderTimeout{10'000};
  std::chrono::milliseconds BodyTimeout{30'000};
  std::chrono::milliseconds WriteTimeout{30'000};
};

/// A request that has got its last word.
struct answered_request {
  pipeline_id Pipeline;
  final_answer Answer;
  std::chrono::microseconds Latency{0};
};

/// Counts of the front since its start.
struct front_counters {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CallersGone = 0;
  std::uint64_t SlowReaders = 0;
  std::uint64_t Connections = 0;
};

/// Takes what the front hears.
class front_handler {
public:
  using page_handler = std::function<void(http_answer)>;

  virtual ~front_handler() = default;
  virtual void onRequest(request_received Call) = 0;
  virtual void onCallerGone(request_id Request) = 0;
  virtual void onAnswered(const answered_request &Answered) = 0;
  /// A GET that is not a caller's request; Done is called exactly once.
  virtual void onOperatorGet(std::string_view Target, page_handler Done) = 0;
};

/// Listens for callers. Used from the io_context's thread only.
/// A restart loses the connections, and with them the requests in progress:
/// their callers are reported gone.
class front : public supervised_part {
public:
  virtual void perform(const answer_caller &Action) = 0;
  virtual void perform(const stream_to_caller &Action) = 0;
  /// From now on connections are closed after their answer.
  virtual void closeAfterAnswers() = 0;
  /// Accepts no new connections and closes idle ones.
  virtual void stopAccepting() = 0;
  /// Whether all answers are written.
  virtual bool idle() const = 0;
  virtual front_counters counters() const = 0;
};

std::unique_ptr<front> makeFront(boost::asio::io_context &Context,
                                 const endpoint &Address,
                                 const front_limits &Limits,
                                 front_handler &Handler,
                                 failure_listener &Failures);

} // namespace jasminecroft
