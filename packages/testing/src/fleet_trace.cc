// One readable line for each request, attempt, answer, platform call and log.
#include "jasminecroft/testing/fleet_trace.h"

#include <iomanip>
#include <ostream>

namespace jasminecroft::testing {

namespace {

std::string name(const host_run &Host) {
  return Host.Host.Value + "#" + std::to_string(Host.Run.Value);
}

std::string number(std::uint64_t Value) { return std::to_string(Value); }

std::string_view toText(backend_error Error) {
  switch (Error) {
  case backend_error::NotConnected:
    return "not connected";
  case backend_error::Refused:
    return "refused";
  case backend_error::RefusedLeaving:
    return "refused, leaving";
  case backend_error::ExecutionFailed:
    return "ran and failed";
  case backend_error::Broken:
    return "broken";
  case backend_error::TimedOut:
    return "timed out";
  }
  return "";
}

struct operation_text {
  std::string operator()(const get_object &Get) const {
    return "get " + Get.Key.Value;
  }
  std::string operator()(const create_object &Create) const {
    return "create " + Create.Key.Value;
  }
  std::string operator()(const update_object &Update) const {
    return "update " + Update.Key.Value;
  }
  std::string operator()(const delete_object &Delete) const {
    return "delete " + Delete.Key.Value;
  }
  std::string operator()(const list_objects &List) const {
    return "list " + List.Prefix;
  }
  std::string operator()(const watch_object &Watch) const {
    return "watch " + Watch.Key.Value;
  }
};

struct result_text {
  std::string operator()(const object_found &Found) const {
    return "found version " + number(Found.Version.Value);
  }
  std::string operator()(const object_written &Written) const {
    return "written version " + number(Written.Version.Value);
  }
  std::string operator()(const object_absent &) const { return "absent"; }
  std::string operator()(const version_conflict &) const { return "conflict"; }
  std::string operator()(const watch_expired &) const { return "expired"; }
  std::string operator()(const platform_refused &) const { return "refused"; }
  std::string operator()(const platform_no_answer &) const {
    return "no answer";
  }
  std::string operator()(const object_malformed &) const { return "malformed"; }
  std::string operator()(const objects_listed &Listed) const {
    return "listed " + number(Listed.Objects.size());
  }
};

std::string peerText(const config_pull &Pull, const std::string &From) {
  return "config pull" + From + ", has " + number(Pull.Have.Value);
}

std::string peerText(const config_push &Push, const std::string &From) {
  return "config push" + From + " of " + number(Push.Config.Version.Value);
}

std::string peerText(const config_changes &Changes, const std::string &From) {
  std::string Text = "config changes" + From;
  for (const change_record &Record : Changes.Changes)
    Text += " " + number(Record.Result.Value);
  return Text;
}

std::string peerText(const claim_query &Query, const std::string &From) {
  return "claim query" + From + " for " + Query.Claim.Value;
}

std::string peerText(const claim_query_reply &Reply, const std::string &From) {
  return "claim reply" + From + " for " + Reply.Claim.Value;
}

/// Probes and host lists come too often to be printed.
template <typename Other>
std::string peerText(const Other &, const std::string &) {
  return "";
}

struct event_text {
  std::string operator()(const request_received &Call) const {
    std::string Text = "request " + number(Call.Request.Value) + " " +
                       Call.Pipeline.Value + " " + Call.Body;
    if (Call.Key)
      Text += " " + Call.Key->Value;
    if (Call.AttemptNumber)
      Text += " call " + number(*Call.AttemptNumber);
    if (Call.Remaining)
      Text +=
          " within " +
          number(static_cast<std::uint64_t>(Call.Remaining->count() / 1000)) +
          " ms";
    return Text + (Call.Streamed ? " streamed" : "");
  }
  std::string operator()(const caller_disconnected &Gone) const {
    return "caller of " + number(Gone.Request.Value) + " gone";
  }
  std::string operator()(const attempt_piece &Piece) const {
    return "attempt " + number(Piece.Attempt.Value) + " piece " +
           number(Piece.Sequence);
  }
  std::string operator()(const attempt_succeeded &End) const {
    return "attempt " + number(End.Attempt.Value) + " succeeded";
  }
  std::string operator()(const attempt_failed &End) const {
    return "attempt " + number(End.Attempt.Value) + " " +
           std::string(toText(End.Error));
  }
  std::string operator()(const platform_replied &Reply) const {
    return "platform call " + number(Reply.Call.Value) + " " +
           std::visit(result_text(), Reply.Result);
  }
  std::string operator()(const peer_received &Received) const {
    const peer_message &Message = Received.Message;
    std::string From = " from " + name(Message.Sender);
    return std::visit(
        [&From](const auto &Body) { return peerText(Body, From); },
        Message.Body);
  }
  std::string operator()(const shutdown_requested &) const {
    return "shutdown requested";
  }
  template <typename Other> std::string operator()(const Other &) const {
    return "";
  }
};

struct action_text {
  std::string operator()(const answer_caller &Answer) const {
    return "answer to " + number(Answer.Request.Value) + ": " +
           std::string(jasminecroft::toText(Answer.Answer.Outcome)) + " " +
           std::string(jasminecroft::toText(Answer.Answer.Code));
  }
  std::string operator()(const stream_to_caller &Piece) const {
    return "piece " + number(Piece.Sequence) + " to caller of " +
           number(Piece.Request.Value);
  }
  std::string operator()(const start_attempt &Start) const {
    return "attempt " + number(Start.Attempt.Value) + " of " +
           Start.Stage.Value + " to " + Start.Backend.Value + " with " +
           Start.Input;
  }
  std::string operator()(const cancel_attempt &Cancel) const {
    return "cancel attempt " + number(Cancel.Attempt.Value);
  }
  std::string operator()(const call_platform &Call) const {
    return "platform call " + number(Call.Call.Value) + " " +
           std::visit(operation_text(), Call.Operation);
  }
  std::string operator()(const log_event &Log) const {
    std::string Text = "log: " + std::string(Log.Record.Message);
    for (const event_field &Field : Log.Record.Fields)
      Text += " " + std::string(Field.Name) + "=" + Field.Value;
    return Text;
  }
  std::string operator()(const stop_process &) const { return "stop"; }
  template <typename Other> std::string operator()(const Other &) const {
    return "";
  }
};

} // namespace

void fleet_trace::line(const std::string &Text) {
  if (!Out || Text.empty())
    return;
  double Seconds =
      static_cast<double>(Queue->now().time_since_epoch().count()) / 1e6;
  *Out << std::fixed << std::setprecision(6) << Seconds << " " << Text << "\n";
}

void fleet_trace::line(const host_run &Host, const std::string &Text) {
  if (!Text.empty())
    line(name(Host) + " " + Text);
}

void fleet_trace::onHostStarted(const host_run &Host, const zone_id &Zone) {
  line(Host, "started in " + Zone.Value);
  Next.onHostStarted(Host, Zone);
}

void fleet_trace::onHostDied(const host_run &Host) {
  line(Host, "died");
  Next.onHostDied(Host);
}

void fleet_trace::onHostStopped(const host_run &Host) {
  line(Host, "stopped");
  Next.onHostStopped(Host);
}

void fleet_trace::onHostFrozen(const host_run &Host) {
  line(Host, "frozen");
  Next.onHostFrozen(Host);
}

void fleet_trace::onHostResumed(const host_run &Host) {
  line(Host, "resumed");
  Next.onHostResumed(Host);
}

void fleet_trace::onEvent(const host_run &Host, const event &Event) {
  if (Out)
    line(Host, std::visit(event_text(), Event));
  Next.onEvent(Host, Event);
}

void fleet_trace::onAction(const host_run &Host, const action &Action) {
  if (Out)
    line(Host, std::visit(action_text(), Action));
  Next.onAction(Host, Action);
}

void fleet_trace::onWrite(const object_key &Key, const stored_object &Value) {
  line("platform wrote " + Key.Value);
  Next.onWrite(Key, Value);
}

void fleet_trace::beforeDisturbance() { Next.beforeDisturbance(); }

void fleet_trace::onBackendReceived(const backend_id &Backend, incarnation Run,
                                    const backend_call &Call) {
  Next.onBackendReceived(Backend, Run, Call);
}

void fleet_trace::onBackendRun(const backend_run &Run) {
  line(Run.Backend.Value + " runs " + Run.Stage.Value + " for attempt " +
       number(Run.Attempt.Value) + " of " + name(Run.Caller));
  Next.onBackendRun(Run);
}

} // namespace jasminecroft::testing
