// Answers of servers: what is believed of them, and what a caller is told.
#include "byte_target.h"
#include "message_reader.h"

#include "jasminecroft/wire/http_framing.h"
#include "platform/front/caller_requests.h"
#include "platform/replica/replica_calls.h"
#include "platform/test/answer_words.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace jasminecroft::bytes {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 16'777'216;
const caller_request_id CallerId("9c41");
const backend_id Server("i-1");

// An independent reading of the rule: nothing in a proof says otherwise.
void checkProof(const platform::http_head &Head,
                const backend_reply_head &Reply) {
  constexpr unsigned Misdirected = 421;
  if (!provesNotRun(Reply.verdict()))
    return;
  namespace words = platform::words;
  std::size_t Statements = platform::countOf(Head, words::Statement);
  require(platform::countOf(Head, words::Signature) == 0, "no proof is signed");
  require(Statements < 2 && platform::countOf(Head, words::RequestId) < 2 &&
              platform::countOf(Head, words::ServerId) < 2,
          "no proof says one thing twice");
  require(Statements == 1 || Head.Status == Misdirected,
          "a proof has the statement or another server's 421");
  bool Expected = platform::headerOf(Head, words::ServerId) == Server.Value;
  require(Head.Status != Misdirected || !Expected,
          "the expected server gives no 421");
}

// A caller reads what the host passes on as one message with the same body.
void checkRelayed(const backend_reply_head &Reply, const std::string &Body) {
  if (Reply.Status < 200 || Reply.Status == 204 || Reply.Status == 304)
    return;
  platform::written_head Head =
      platform::encodeReplyHead(Reply, Body.size(), false);
  require(std::holds_alternative<std::string>(Head),
          "an answer that was read can be written");
  std::string Text = std::get<std::string>(Head) + Body;
  std::optional<read_message> Read = readMessage(Text, message_kind::Answer);
  require(Read && Read->End == Text.size() && Read->Body == Body,
          "a relayed answer is exactly one message with its body");
}

} // namespace

void readBytes(std::string_view Bytes) {
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxAnswerBytes);
  std::size_t Used = 0;
  boost::system::error_code Error;
  while (!Parser.is_done() && Used < Bytes.size()) {
    std::size_t Count = Parser.put(
        boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Error);
    Used += Count;
    if (Error || Count == 0)
      return;
    if (Parser.is_header_done() &&
        !hasClearFraming(Parser.get(), Parser.get().version()))
      return;
  }
  if (!Parser.is_header_done())
    return;
  if (!Parser.is_done())
    Parser.put_eof(Error);
  if (Error)
    return;
  platform::http_head Head;
  Head.Status = Parser.get().result_int();
  for (const http::fields::value_type &Field : Parser.get())
    Head.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  std::string Body = Parser.get().body();
  for (bool Reused : {false, true}) {
    connection_history Connection;
    Connection.Reused = Reused;
    backend_reply_head Reply =
        platform::decodeReply(Head, {CallerId, Server}, Connection);
    checkProof(Head, Reply);
    if (Reply.verdict() == answer_verdict::Answered)
      checkRelayed(Reply, Body);
  }
  platform::decodePieces(Head, Body, Server, 2);
  platform::decodePiecesLoad(Head, Body);
  platform::decodeStatedLimit(Head);
  platform::decodeStatedPause(Head);
  platform::keepAliveOf(Head);
  platform::eventId(Body);
}

} // namespace jasminecroft::bytes
