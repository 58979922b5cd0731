// Listeners of calls: requests that are passed on, batches, and results that
// are freed.
#include "serving_backends.h"

#include "platform/replica/replica_calls.h"

#include <boost/asio/post.hpp>

namespace jasminecroft::detail {

namespace {

/// A server ends its work at the time it was given; its answer may take this
/// much longer to arrive.
constexpr std::chrono::milliseconds AnswerSlack{250};
/// For calls that no request waits for.
constexpr std::chrono::seconds SideCallTimeout{2};
/// Longest event of a stream.
constexpr std::size_t MaxEventBytes = 262'144;
/// Beginnings of events that are longer than this count as held answers.
constexpr std::size_t MinCountedBytes = 16'384;

void tellLimit(backend_results &Results, call_id Call,
               const platform::http_head &Head) {
  if (std::optional<stated_limit> Stated = platform::decodeStatedLimit(Head))
    Results.onStatedLimit(Call, *Stated);
}

/// What the head of any answer says of the server itself.
void tellServer(backend_results &Results, const backend_entry &Server,
                const platform::http_head &Head) {
  if (platform::saysLeaving(Head))
    Results.onServerLeaving(Server);
  if (std::optional<stated_pause> Stated = platform::decodeStatedPause(Head))
    Results.onServerPause(Server, *Stated);
  if (std::optional<core_duration> Left = platform::decodeColdLeft(Head))
    Results.onServerCold(Server, *Left);
}

/// A caller's request. Streams are handed on by whole events.
class forward_listener final : public backend_call_listener,
                               private held_memory::holder {
public:
  forward_listener(serving_backends &Backends, backend_results &Results,
                   std::shared_ptr<connection_pool> Pool, call_id Call,
                   const forward_call &Forward)
      : Backends(Backends), Results(Results), Pool(std::move(Pool)), Call(Call),
        Server(Forward.Server),
        Request(Forward.Request), Answered{Forward.CallerId,
                                           Forward.Server.Id} {}
  ~forward_listener() override { Pool->Memory.release(*this); }
  forward_listener(const forward_listener &) = delete;
  forward_listener &operator=(const forward_listener &) = delete;

  void onWhole(const platform::http_head &Head, std::string Body,
               const connection_history &Connection) override {
    Backends.forget(Call);
    tellServer(Results, Server, Head);
    tellLimit(Results, Call, Head);
    Results.onCompleteReply(Call,
                            platform::decodeReply(Head, Answered, Connection),
                            std::move(Body));
  }

  // The body of a refusal does not reach the caller.
  bool needsHeadOnly(const platform::http_head &Head,
                     const connection_history &Connection) const override {
    return provesNotRun(
        platform::decodeReply(Head, Answered, Connection).verdict());
  }

  void onStreamHead(const platform::http_head &Head) override {
    tellServer(Results, Server, Head);
    tellLimit(Results, Call, Head);
    Results.onStreamHead(Call, platform::decodeReply(Head, Answered));
  }

  void onStreamText(std::string Text) override {
    // What came before has no end of an event.
    std::size_t Unsearched = Pending.empty() ? 0 : Pending.size() - 1;
    Pending += Text;
    std::size_t End =
        std::string_view(Pending).substr(Unsearched).rfind("\n\n");
    if (End != std::string::npos)
      End += Unsearched;
    if (End == std::string::npos) {
      if (Pending.size() > MaxEventBytes)
        fail();
      else if (Pending.size() > MinCountedBytes)
        Pool->Memory.hold(held_kind::ArrivingAnswer, *this, Pending.capacity());
      return;
    }
    std::string Whole = Pending.substr(0, End + 2);
    Pending = Pending.substr(End + 2);
    Pool->Memory.release(*this);
    std::optional<std::uint64_t> First;
    std::optional<std::uint64_t> Last;
    if (!checkEvents(Whole, First, Last)) {
      fail();
      return;
    }
    Results.onStreamEvents(Call, std::move(Whole), First.value_or(0),
                           Last.value_or(0));
  }

  void onStreamEnd(answer_end End) override {
    Backends.forget(Call);
    // A part of an event at the end means that the server broke off, and so
    // does a connection that ends before the first event.
    bool BeforeFirst = !Newest && End == answer_end::Closed;
    if (!Pending.empty() || BeforeFirst)
      Results.onCallFailed(Call, call_failure::Broken);
    else
      Results.onStreamEnd(Call);
  }

  void onFailed(call_failure Failure) override {
    Backends.forget(Call);
    Results.onCallFailed(Call, Failure);
  }

  std::size_t unreadBytes() const override {
    return Results.unreadBytes(Request);
  }

private:
  void giveUpAnswer() override { fail(); }

  void fail() {
    serving_backends &Owner = Backends;
    backend_results &Target = Results;
    call_id Failed = Call;
    Owner.cancel(Failed);
    Target.onCallFailed(Failed, call_failure::Broken);
  }

  // Ids of events have to follow each other without a hole.
  bool checkEvents(std::string_view Text, std::optional<std::uint64_t> &First,
                   std::optional<std::uint64_t> &Last) {
    while (!Text.empty()) {
      std::size_t End = Text.find("\n\n");
      std::optional<std::uint64_t> Id =
          platform::eventId(Text.substr(0, End + 1));
      Text.remove_prefix(End + 2);
      if (!Id || (Newest && *Id != *Newest + 1))
        return false;
      Newest = Id;
      if (!First)
        First = Id;
      Last = Id;
    }
    return true;
  }

  serving_backends &Backends;
  backend_results &Results;
  std::shared_ptr<connection_pool> Pool;
  call_id Call;
  backend_entry Server;
  request_id Request;
  platform::answered_call Answered;
  /// Beginning of an event that is not whole yet.
  std::string Pending;
  std::optional<std::uint64_t> Newest;
};

class pieces_listener final : public backend_call_listener {
public:
  pieces_listener(serving_backends &Backends, backend_results &Results,
                  call_id Call, backend_entry Server, std::size_t Expected)
      : Backends(Backends), Results(Results), Call(Call),
        Server(std::move(Server)), Expected(Expected) {}

  void onWhole(const platform::http_head &Head, std::string Body,
               const connection_history &) override {
    Backends.forget(Call);
    tellServer(Results, Server, Head);
    tellLimit(Results, Call, Head);
    platform::decoded_pieces Decoded =
        platform::decodePieces(Head, Body, Server.Id, Expected);
    if (platform::pieces_reply *Reply =
            std::get_if<platform::pieces_reply>(&Decoded)) {
      if (Reply->UnusableHandles > 0)
        Results.onUnusableHandles(Server, Reply->UnusableHandles,
                                  Reply->FirstUnusable);
      Results.onPiecesAnswered(Call, Reply->Results, Reply->Load);
    } else if (platform::pieces_refusal *Refusal =
                   std::get_if<platform::pieces_refusal>(&Decoded)) {
      Results.onPiecesRefused(Call, Refusal->WrongServer);
    } else {
      Results.onCallFailed(Call, call_failure::Broken);
    }
  }
  void onStreamHead(const platform::http_head &) override {}
  void onStreamText(std::string) override {}
  void onStreamEnd(answer_end) override { onFailed(call_failure::Broken); }
  void onFailed(call_failure Failure) override {
    Backends.forget(Call);
    Results.onCallFailed(Call, Failure);
  }

private:
  serving_backends &Backends;
  backend_results &Results;
  call_id Call;
  backend_entry Server;
  std::size_t Expected;
};

/// Freed results need no answer: they expire by themselves.
class free_listener final : public backend_call_listener {
public:
  free_listener(backend_results &Results, backend_entry Server)
      : Results(Results), Server(std::move(Server)) {}

  void onWhole(const platform::http_head &Head, std::string,
               const connection_history &) override {
    tellServer(Results, Server, Head);
  }
  void onStreamHead(const platform::http_head &) override {}
  void onStreamText(std::string) override {}
  void onStreamEnd(answer_end) override {}
  void onFailed(call_failure) override {}

private:
  backend_results &Results;
  backend_entry Server;
};

class load_listener final : public backend_call_listener {
public:
  load_listener(backend_results &Results, backend_entry Server)
      : Results(Results), Server(std::move(Server)) {}

  void onWhole(const platform::http_head &Head, std::string Body,
               const connection_history &) override {
    tellServer(Results, Server, Head);
    Results.onServerLoad(Server.Id, platform::decodePiecesLoad(Head, Body));
  }
  void onStreamHead(const platform::http_head &) override {}
  void onStreamText(std::string) override {}
  void onStreamEnd(answer_end) override {}
  void onFailed(call_failure) override {
    Results.onServerLoad(Server.Id, std::nullopt);
  }

private:
  backend_results &Results;
  backend_entry Server;
};

} // namespace

// Returns whether the call can be sent.
bool serving_backends::takeText(platform::written_head Written,
                                const backend_entry &Server,
                                backend_call_request &Request) {
  if (std::string *Text = std::get_if<std::string>(&Written)) {
    Request.Text = std::move(*Text);
    return true;
  }
  Results.onUnwritable(Server, Request.CallerId,
                       std::get<platform::unwritable_head>(Written));
  return false;
}

// The core is in the middle of the call's request.
void serving_backends::failLater(call_id Call) {
  boost::asio::post(Context, [this, Call] {
    Results.onCallFailed(Call, call_failure::NotWritable);
  });
}

void serving_backends::forward(call_id Call, call_permit Permit,
                               const forward_call &Forward) {
  backend_call_request Request;
  Request.Address = Permit.server().Address;
  Request.Message = Forward.Message;
  Request.CallerId = Forward.CallerId;
  if (!takeText(platform::encodeForward(Forward), Forward.Server, Request)) {
    failLater(Call);
    return;
  }
  Request.Timeout = Forward.TimeLeft + AnswerSlack;
  Request.MayReuseConnection = Forward.MayReuseConnection;
  Request.Streamed = Forward.Streamed;
  Request.HeadOnly = Forward.Message->Method == "HEAD";
  Calls[Call] = startBackendCall(
      Context, Pool, std::move(Request),
      std::make_shared<forward_listener>(*this, Results, Pool, Call, Forward));
}

void serving_backends::runPieces(call_id Call, call_permit Permit,
                                 const std::vector<batch_item> &Items,
                                 core_duration Timeout) {
  const backend_entry &Server = Permit.server();
  backend_call_request Request;
  Request.Address = Server.Address;
  if (!takeText(platform::encodePieces(Server, Items), Server, Request)) {
    failLater(Call);
    return;
  }
  Request.Timeout = Timeout;
  // Answers for pieces do not name their call.
  Request.KeepConnection = false;
  Calls[Call] =
      startBackendCall(Context, Pool, std::move(Request),
                       std::make_shared<pieces_listener>(*this, Results, Call,
                                                         Server, Items.size()));
}

void serving_backends::freeResults(call_permit Permit,
                                   const std::vector<result_handle> &Handles) {
  const backend_entry &Server = Permit.server();
  backend_call_request Request;
  Request.Address = Server.Address;
  if (!takeText(platform::encodeFree(Server, Handles), Server, Request))
    return;
  Request.Timeout = SideCallTimeout;
  startBackendCall(Context, Pool, std::move(Request),
                   std::make_shared<free_listener>(Results, Server));
}

void serving_backends::readServer(call_permit Permit) {
  const backend_entry &Server = Permit.server();
  backend_call_request Request;
  Request.Address = Server.Address;
  if (!takeText(platform::encodeLoadQuestion(Server), Server, Request)) {
    boost::asio::post(Context, [this, Id = Server.Id] {
      Results.onServerLoad(Id, std::nullopt);
    });
    return;
  }
  Request.Timeout = SideCallTimeout;
  startBackendCall(Context, Pool, std::move(Request),
                   std::make_shared<load_listener>(Results, Server));
}

void serving_backends::cancel(call_id Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  std::shared_ptr<backend_call> Ended = Found->second;
  Calls.erase(Found);
  Ended->cancel();
}

} // namespace jasminecroft::detail
