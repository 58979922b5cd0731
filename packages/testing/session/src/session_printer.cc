// Actions as readable text.
#include "session_printer.h"

#include <cstdio>

namespace jasminecroft::testing {

namespace {

std::string text(std::uint64_t Number) { return std::to_string(Number); }

std::string quoted(const std::string &Value) { return "\"" + Value + "\""; }

std::string hex(std::uint64_t Number) {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

std::string milliseconds(core_duration Time) {
  return text(static_cast<std::uint64_t>(Time.count() / 1000)) + "ms";
}

std::string_view answerName(claim_answer Answer) {
  switch (Answer) {
  case claim_answer::InProgress:
    return "in_progress";
  case claim_answer::Done:
    return "done";
  case claim_answer::Abandoned:
    return "abandoned";
  case claim_answer::Unknown:
    return "unknown";
  case claim_answer::NotMine:
    return "not_mine";
  }
  return "?";
}

std::string_view eventName(event_number Number) {
  switch (Number) {
  case event_number::ShutdownBegun:
    return "shutdown_begun";
  case event_number::ShutdownFinished:
    return "shutdown_finished";
  case event_number::LateAnswerDropped:
    return "late_answer_dropped";
  case event_number::AttemptRetried:
    return "attempt_retried";
  case event_number::ClaimTaken:
    return "claim_taken";
  case event_number::ClaimDuplicate:
    return "claim_duplicate";
  case event_number::ClaimUndecided:
    return "claim_undecided";
  case event_number::ClaimReleased:
    return "claim_released";
  case event_number::ClaimOutcomeRecorded:
    return "claim_outcome_recorded";
  case event_number::PlatformAway:
    return "platform_away";
  case event_number::PlatformBack:
    return "platform_back";
  default:
    return {};
  }
}

std::string printRecord(const stored_object &Value) {
  const claim_record *Record = std::get_if<claim_record>(&Value);
  if (!Record)
    return " other object";
  std::string Out = " ";
  Out += toText(Record->State);
  Out += " attempt=" + text(Record->Attempt.Value);
  Out += " holder=" + Record->Holder.Host.Value + "/" +
         text(Record->Holder.Run.Value);
  if (Record->CallNumber)
    Out += " call=" + text(*Record->CallNumber);
  if (Record->Output)
    Out += " output=" + quoted(*Record->Output);
  return Out;
}

struct printer {
  std::string operator()(const answer_caller &Answer) const {
    const final_answer &Final = Answer.Answer;
    std::string Out = "answer " + text(Answer.Request.Value) + " ";
    Out += toText(Final.Outcome);
    if (Final.Code != error_code::None)
      Out += " code=" + std::string(toText(Final.Code));
    if (!Final.Body.empty())
      Out += " body=" + quoted(Final.Body);
    if (Final.StreamCount != 0)
      Out += " count=" + text(Final.StreamCount) +
             " digest=" + hex(Final.StreamDigest);
    if (Final.RetryAfter)
      Out += " retry_after=" + milliseconds(*Final.RetryAfter);
    if (Final.Replayed)
      Out += " replayed";
    return Out;
  }
  std::string operator()(const stream_to_caller &Piece) const {
    return "stream " + text(Piece.Request.Value) + " " + text(Piece.Sequence) +
           " " + quoted(Piece.Text);
  }
  std::string operator()(const start_attempt &Start) const {
    std::string Out =
        "start " + text(Start.Attempt.Value) + " stage=" + Start.Stage.Value +
        " backend=" + Start.Backend.Value + " input=" + quoted(Start.Input);
    if (!Start.Repeatable)
      Out += " not_repeatable";
    if (Start.Streamed)
      Out += " streamed from=" + text(Start.ResumeFrom);
    return Out;
  }
  std::string operator()(const cancel_attempt &Cancel) const {
    return "cancel " + text(Cancel.Attempt.Value);
  }
  std::string operator()(const call_platform &Call) const {
    return std::visit(*this, Call.Operation);
  }
  std::string operator()(const create_object &Create) const {
    return "create " + Create.Key.Value + printRecord(Create.Value);
  }
  std::string operator()(const update_object &Update) const {
    return "update " + Update.Key.Value + printRecord(Update.Value) +
           " if=" + text(Update.Expected.Value);
  }
  std::string operator()(const get_object &Get) const {
    return "read " + Get.Key.Value;
  }
  std::string operator()(const send_to_peer &Send) const {
    std::string Out = "send " + Send.Host.Value + " ";
    if (const claim_query *Query = std::get_if<claim_query>(&Send.Message.Body))
      return Out + "claim_query attempt=" + text(Query->Attempt.Value);
    if (const claim_query_reply *Reply =
            std::get_if<claim_query_reply>(&Send.Message.Body))
      return Out + "claim_query_reply " +
             std::string(answerName(Reply->Answer));
    return {};
  }
  std::string operator()(const log_event &Log) const {
    std::string_view Name = eventName(Log.Record.Number);
    if (Name.empty())
      return {};
    return "log " + text(static_cast<std::uint64_t>(Log.Record.Number)) + " " +
           std::string(Name);
  }
  std::string operator()(const stop_process &) const { return "stop"; }
  // Sessions don't show the rest.
  template <typename Other> std::string operator()(const Other &) const {
    return {};
  }
};

} // namespace

std::string printAction(const action &Action) {
  return std::visit(printer{}, Action);
}

} // namespace jasminecroft::testing
