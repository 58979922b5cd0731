// Requests of callers: the host and the next hop agree where each one ends.
#include "byte_target.h"
#include "message_reader.h"

#include "jasminecroft/wire/http_framing.h"
#include "platform/front/caller_requests.h"
#include "platform/replica/replica_calls.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jasminecroft::bytes {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 16'384;
constexpr std::uint64_t MaxBodyBytes = 100'000;

// The next hop reads what the host writes as one message with the same body.
void checkForwarded(const serving_request &Request) {
  forward_call Call;
  Call.Server.Id = backend_id("i-1");
  Call.Message = Request.Message;
  Call.CallerId = Request.CallerId;
  Call.TimeLeft = std::chrono::seconds(1);
  platform::written_head Head = platform::encodeForward(Call);
  require(std::holds_alternative<std::string>(Head),
          "a request that was read can be written");
  std::string Text = std::get<std::string>(Head) + Request.Message->Body;
  std::optional<read_message> Read = readMessage(Text, message_kind::Request);
  require(Read && Read->End == Text.size(),
          "a forwarded request is exactly one message");
  require(Read->Body == Request.Message->Body,
          "a forwarded request has its body");
}

} // namespace

void readBytes(std::string_view Bytes) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(MaxHeaderBytes);
  Parser.body_limit(MaxBodyBytes);
  std::size_t Used = 0;
  while (!Parser.is_done()) {
    boost::system::error_code Error;
    std::size_t Count = Parser.put(
        boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Error);
    Used += Count;
    if (Error || Used > Bytes.size() || (Count == 0 && !Parser.is_done()))
      return;
    if (Parser.is_header_done() &&
        !hasClearFraming(Parser.get(), Parser.get().version()))
      return;
  }
  std::optional<read_message> Second =
      readMessage(Bytes, message_kind::Request);
  require(Second && Second->End == Used,
          "two readers agree where a request ends");
  require(Second->Body == Parser.get().body(),
          "two readers agree on a request's body");
  platform::http_head Head;
  Head.Method = std::string(Parser.get().method_string());
  Head.Target = std::string(Parser.get().target());
  for (const http::fields::value_type &Field : Parser.get())
    Head.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  platform::decoded_request Decoded =
      platform::decodeRequest(std::move(Head), std::move(Parser.get().body()));
  if (const serving_request *Request = std::get_if<serving_request>(&Decoded))
    checkForwarded(*Request);
}

} // namespace jasminecroft::bytes
