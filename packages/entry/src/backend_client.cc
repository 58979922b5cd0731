// Turns attempts and load polls into HTTP exchanges, and answers into events.
#include "jasminecroft/entry/backend_client.h"

#include "backend_answer.h"
#include "http_exchange.h"
#include "sse_reader.h"

#include <map>
#include <set>

namespace jasminecroft {

using namespace detail;

namespace {

constexpr std::chrono::milliseconds LoadPollTimeout{1'000};
constexpr std::chrono::milliseconds CancelTimeout{2'000};
constexpr std::size_t MaxCancelsInFlight = 256;

std::string_view nameOf(work_priority Priority) {
  return Priority == work_priority::Interactive ? "interactive" : "batch";
}

backend_error toBackendError(exchange_failure Failure) {
  switch (Failure) {
  case exchange_failure::NotConnected:
    return backend_error::NotConnected;
  case exchange_failure::Broken:
    return backend_error::Broken;
  case exchange_failure::TimedOut:
    return backend_error::TimedOut;
  }
  return backend_error::Broken;
}

exchange_request toRequest(const start_attempt &Action,
                           const std::string &AttemptText) {
  std::chrono::milliseconds Timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(Action.Timeout);
  exchange_request Request;
  Request.Address = Action.Address;
  Request.Method = exchange_method::Post;
  Request.Target = "/v1/run";
  Request.Timeout = Action.Timeout;
  Request.MayReuseConnection = Action.Repeatable;
  Request.Headers = {{"X-Attempt", AttemptText},
                     {"X-Stage", Action.Stage.Value},
                     {"X-Workspace", Action.Workspace.Value},
                     {"X-Pipeline", Action.Pipeline.Value},
                     {"X-Priority", std::string(nameOf(Action.Priority))},
                     {"X-Timeout-Ms", std::to_string(Timeout.count())},
                     {"X-Repeatable", Action.Repeatable ? "1" : "0"}};
  if (Action.Streamed)
    Request.Headers.emplace_back("X-Stream", "1");
  if (Action.ResumeFrom != 0)
    Request.Headers.emplace_back("X-Resume-From",
                                 std::to_string(Action.ResumeFrom));
  if (Action.TokenLimit)
    Request.Headers.emplace_back("X-Token-Limit",
                                 std::to_string(*Action.TokenLimit));
  return Request;
}

// What an attempt and the client need of each other.
class attempt_owner {
public:
  virtual ~attempt_owner() = default;
  virtual void onPiece(attempt_piece Piece) = 0;
  /// The attempt has ended; Ended is its one result.
  virtual void onEnded(attempt_id Attempt, event Ended) = 0;
};

// Reads the answer to one attempt. Does not outlive the client's table.
class attempt_reader final : public exchange_listener {
public:
  attempt_reader(attempt_owner &Owner, attempt_id Attempt, std::string Text,
                 std::uint64_t ResumeFrom)
      : Owner(Owner), Attempt(Attempt), AttemptText(std::move(Text)),
        NextSequence(ResumeFrom) {}

  bool onStreamText(std::string_view Text) override {
    if (!Events.append(Text))
      return false;
    while (std::optional<sse_event> Event = Events.next())
      if (!onEvent(*Event))
        return false;
    return true;
  }

  void onComplete(unsigned Status, std::string Body) override {
    if (StreamEnd) {
      Owner.onEnded(Attempt, *StreamEnd);
      return;
    }
    std::variant<attempt_succeeded, attempt_failed> Result =
        readWholeAnswer(Attempt, AttemptText, Status, Body);
    std::visit([this](auto &One) { Owner.onEnded(Attempt, std::move(One)); },
               Result);
  }

  void onFailed(exchange_failure Failure) override {
    attempt_failed Result;
    Result.Attempt = Attempt;
    Result.Error = toBackendError(Failure);
    Owner.onEnded(Attempt, Result);
  }

private:
  // Pieces come without holes, and the end counts all of them.
  bool onEvent(const sse_event &Event) {
    std::variant<attempt_piece, attempt_succeeded, attempt_failed> Result =
        readStreamEvent(Attempt, AttemptText, Event);
    if (StreamEnd)
      return false;
    if (attempt_piece *Piece = std::get_if<attempt_piece>(&Result)) {
      if (Piece->Sequence != NextSequence)
        return false;
      ++NextSequence;
      Owner.onPiece(std::move(*Piece));
      return true;
    }
    if (attempt_succeeded *End = std::get_if<attempt_succeeded>(&Result)) {
      if (End->Count != NextSequence)
        return false;
      StreamEnd = *End;
      return true;
    }
    return false;
  }

  attempt_owner &Owner;
  attempt_id Attempt;
  std::string AttemptText;
  sse_reader Events;
  std::uint64_t NextSequence;
  std::optional<attempt_succeeded> StreamEnd;
};

// Hands a small whole answer, or nothing, to a function.
class small_answer_reader final : public exchange_listener {
public:
  using done_handler = std::function<void(std::optional<std::string>)>;
  explicit small_answer_reader(done_handler Done) : Done(std::move(Done)) {}

  bool onStreamText(std::string_view) override { return false; }
  void onComplete(unsigned Status, std::string Body) override {
    if (Status == 200)
      Done(std::move(Body));
    else
      Done(std::nullopt);
  }
  void onFailed(exchange_failure) override { Done(std::nullopt); }

private:
  done_handler Done;
};

class backend_client_impl final : public backend_client, public attempt_owner {
public:
  backend_client_impl(boost::asio::io_context &Context, const host_run &Self,
                      event_sink &Events)
      : Self(Self), Events(Events), Client(makeHttpClient(Context)) {}

  std::optional<part_failure> start() override { return std::nullopt; }

  void stop() override {
    std::map<attempt_id, running> Lost = std::move(Running);
    Running.clear();
    for (const std::pair<const attempt_id, running> &Attempt : Lost) {
      Attempt.second.Exchange->cancel();
      attempt_failed Result;
      Result.Attempt = Attempt.first;
      Result.Error = backend_error::Broken;
      Events.post(Result);
    }
    std::set<std::shared_ptr<http_exchange>> Others = std::move(Small);
    Small.clear();
    for (const std::shared_ptr<http_exchange> &Exchange : Others)
      Exchange->cancel();
    Client->closeIdle();
  }

  void perform(start_attempt Action) override {
    ++Counters.Attempts;
    std::string Text = attemptText(Action.Attempt);
    exchange_request Request = toRequest(Action, Text);
    Request.Body = std::move(Action.Input);
    std::shared_ptr<attempt_reader> Reader = std::make_shared<attempt_reader>(
        *this, Action.Attempt, std::move(Text), Action.ResumeFrom);
    std::shared_ptr<http_exchange> Exchange =
        Client->start(std::move(Request), std::move(Reader));
    Running.emplace(Action.Attempt,
                    running{std::move(Exchange), std::move(Action.Address)});
  }

  void perform(const cancel_attempt &Action) override {
    auto Found = Running.find(Action.Attempt);
    if (Found == Running.end())
      return;
    ++Counters.Cancelled;
    running Attempt = std::move(Found->second);
    Running.erase(Found);
    Attempt.Exchange->cancel();
    tellCancelled(Attempt.Address, Action.Attempt);
  }

  void perform(const poll_load &Action) override {
    ++Counters.LoadPolls;
    exchange_request Request;
    Request.Address = Action.Address;
    Request.Target = "/v1/load";
    Request.Timeout = LoadPollTimeout;
    startSmall(std::move(Request), [this, Backend = Action.Backend](
                                       const std::optional<std::string> &Body) {
      onLoadAnswer(Backend, Body);
    });
  }

  backend_counters counters() const override {
    backend_counters Result = Counters;
    connection_counters Connections = Client->counters();
    Result.ConnectionsOpened = Connections.Opened;
    Result.ConnectionsReused = Connections.Reused;
    return Result;
  }

private:
  struct running {
    std::shared_ptr<http_exchange> Exchange;
    endpoint Address;
  };

  std::string attemptText(attempt_id Attempt) const {
    return Self.Host.Value + "/" + std::to_string(Self.Run.Value) + "/" +
           std::to_string(Attempt.Value);
  }

  void onPiece(attempt_piece Piece) override {
    if (Running.contains(Piece.Attempt))
      Events.post(std::move(Piece));
  }

  void onEnded(attempt_id Attempt, event Ended) override {
    auto Found = Running.find(Attempt);
    if (Found == Running.end())
      return;
    endpoint Address = std::move(Found->second.Address);
    Running.erase(Found);
    const attempt_failed *Failed = std::get_if<attempt_failed>(&Ended);
    if (Failed && Failed->Error == backend_error::TimedOut)
      tellCancelled(Address, Attempt);
    Events.post(std::move(Ended));
  }

  void onLoadAnswer(const backend_id &Backend,
                    const std::optional<std::string> &Body) {
    std::optional<load_reported> Report;
    if (Body)
      Report = readLoad(Backend, *Body);
    if (Report)
      Events.post(*Report);
    else
      Events.post(load_poll_failed{Backend});
  }

  // Best effort: the server also sees its connection close.
  void tellCancelled(const endpoint &Address, attempt_id Attempt) {
    if (Small.size() >= MaxCancelsInFlight)
      return;
    exchange_request Request;
    Request.Address = Address;
    Request.Method = exchange_method::Post;
    Request.Target = "/v1/cancel";
    Request.Body = "{\"attempt\":\"" + attemptText(Attempt) + "\"}";
    Request.Timeout = CancelTimeout;
    startSmall(std::move(Request), [](const std::optional<std::string> &) {});
  }

  void startSmall(exchange_request Request,
                  small_answer_reader::done_handler Done) {
    std::shared_ptr<std::shared_ptr<http_exchange>> Slot =
        std::make_shared<std::shared_ptr<http_exchange>>();
    std::shared_ptr<small_answer_reader> Reader =
        std::make_shared<small_answer_reader>(
            [this, Slot,
             Done = std::move(Done)](const std::optional<std::string> &Body) {
              Small.erase(*Slot);
              Slot->reset();
              Done(Body);
            });
    *Slot = Client->start(std::move(Request), std::move(Reader));
    Small.insert(*Slot);
  }

  host_run Self;
  event_sink &Events;
  std::unique_ptr<http_client> Client;
  std::map<attempt_id, running> Running;
  /// Load polls and cancellations in progress.
  std::set<std::shared_ptr<http_exchange>> Small;
  backend_counters Counters;
};

} // namespace

std::unique_ptr<backend_client>
makeBackendClient(boost::asio::io_context &Context, const host_run &Self,
                  event_sink &Events) {
  return std::make_unique<backend_client_impl>(Context, Self, Events);
}

} // namespace jasminecroft
