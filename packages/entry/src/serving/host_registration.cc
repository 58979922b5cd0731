// Create if absent, else replace under the revision that was found. Only this
// host writes its object, so that a revision which names two contents, before
// and after a return of the store, does no harm.
#include "host_registration.h"

namespace jasminecroft::detail {

namespace {

constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned FirstErrorStatus = 300;
constexpr unsigned FirstServerErrorStatus = 500;
/// A call without an answer may run this much later.
constexpr std::chrono::seconds LateRunTime{10};
/// Pause between removals while a creation may still run.
constexpr std::chrono::milliseconds RemoveAgainPause{2'000};
/// All hosts verify at the same moment.
constexpr std::chrono::milliseconds VerifySpread{950};

} // namespace

class host_registration::answer final : public exchange_listener {
public:
  explicit answer(std::weak_ptr<host_registration> Owner)
      : Owner(std::move(Owner)) {}
  bool onStreamText(std::string_view) override { return false; }
  void onComplete(unsigned Status, std::string Body) override {
    if (std::shared_ptr<host_registration> Target = Owner.lock())
      Target->onAnswer(Status, Body);
  }
  void onFailed(exchange_failure Failure) override {
    if (std::shared_ptr<host_registration> Target = Owner.lock())
      Target->onFailed(Failure);
  }

private:
  std::weak_ptr<host_registration> Owner;
};

host_registration::host_registration(boost::asio::io_context &Context,
                                     http_client &Client, endpoint Store,
                                     batching_host Self, incarnation Run,
                                     store_watch_listener &Listener)
    : Client(Client), Store(std::move(Store)), Self(std::move(Self)), Run(Run),
      Listener(Listener), Timer(Context), Pause(Run.Value),
      Random(Run.Value ^ std::hash<std::string>()(this->Self.Host.Value)) {}

void host_registration::start() { perform(); }

void host_registration::stop() {
  Stopped = true;
  Timer.cancel();
  if (Call)
    Call->cancel();
}

void host_registration::leave(std::function<void()> Done) {
  Left = std::move(Done);
  abandonCall();
  Step = step::Remove;
  perform();
}

void host_registration::verify() {
  if (Stopped)
    return;
  abandonCall();
  Pause.reset();
  if (Step == step::Remove) {
    perform();
    return;
  }
  Step = step::Create;
  std::uniform_int_distribution<std::int64_t> Spread(0, VerifySpread.count());
  performAfter(std::chrono::milliseconds(Spread(Random)));
}

void host_registration::onSeen(const platform::store_object &Object) {
  // A call in progress finds out by itself.
  bool Unexpected =
      Object.Deleted ? Step == step::Registered : Step == step::Remove;
  if (!Call && Unexpected)
    verify();
}

void host_registration::abandonCall() {
  Timer.cancel();
  if (!Call)
    return;
  std::exchange(Call, nullptr)->cancel();
  onNoAnswer();
}

void host_registration::onNoAnswer() {
  if (Step == step::Create)
    MayBeCreatedUntil = clock::now() + LateRunTime;
}

void host_registration::perform() {
  if (Stopped || Step == step::Registered)
    return;
  exchange_request Request;
  Request.Address = Store;
  Request.Timeout = StoreAnswerTime;
  Request.ConnectTimeout = StoreConnectTime;
  const std::string &Name = Self.Host.Value;
  std::string Spec = platform::encodeEntryHost(Self, Run);
  switch (Step) {
  case step::Create:
    Request.Method = exchange_method::Post;
    Request.Target = platform::kindTarget(platform::EntryHostKind);
    Request.Body = platform::encodeObject(Name, Spec, std::nullopt);
    break;
  case step::Replace:
    Request.Method = exchange_method::Put;
    Request.Target = platform::objectTarget(platform::EntryHostKind, Name);
    Request.Body = platform::encodeObject(Name, Spec, Found);
    break;
  case step::Remove:
    Request.Method = exchange_method::Delete;
    Request.Target = platform::objectTarget(platform::EntryHostKind, Name);
    break;
  case step::Registered:
    return;
  }
  CalledAt = clock::now();
  CallLimit = Request.Timeout;
  ++Calls;
  Call = Client.start(std::move(Request),
                      std::make_shared<answer>(weak_from_this()));
}

void host_registration::onAnswer(unsigned Status, const std::string &Body) {
  Call.reset();
  if (Stopped)
    return;
  if (Step == step::Remove) {
    onRemoveAnswer(Status);
    return;
  }
  if (Status < FirstErrorStatus) {
    Step = step::Registered;
    return;
  }
  if (Status == StatusConflict) {
    std::variant<platform::store_object, platform::object_error> Decoded =
        platform::decodeObject(Body);
    if (platform::store_object *Object =
            std::get_if<platform::store_object>(&Decoded)) {
      if (Object->Spec == platform::encodeEntryHost(Self, Run)) {
        Step = step::Registered;
        return;
      }
      Found = Object->Revision;
      Step = step::Replace;
      perform();
      return;
    }
  }
  if (Status == StatusNotFound)
    Step = step::Create;
  retryLater("status " + std::to_string(Status));
}

void host_registration::onRemoveAnswer(unsigned Status) {
  if (Left)
    std::exchange(Left, {})();
  if (Status == StatusTooMany || Status >= FirstServerErrorStatus)
    retryLater("status " + std::to_string(Status));
  else if (CalledAt < MayBeCreatedUntil)
    performAfter(RemoveAgainPause);
}

void host_registration::onFailed(exchange_failure Failure) {
  Call.reset();
  if (Stopped)
    return;
  if (Failure != exchange_failure::NotConnected)
    onNoAnswer();
  if (Step == step::Remove && Left)
    std::exchange(Left, {})();
  retryLater(std::string(toText(Failure)));
}

void host_registration::retryLater(std::string Why) {
  using std::chrono::milliseconds;
  std::string_view Name = Step == step::Create    ? "create"
                          : Step == step::Replace ? "replace"
                                                  : "remove";
  Listener.onCallFailed(
      {platform::EntryHostKind, Name,
       std::chrono::duration_cast<milliseconds>(CallLimit),
       std::chrono::duration_cast<milliseconds>(clock::now() - CalledAt),
       std::move(Why)});
  performAfter(Pause.next());
}

void host_registration::performAfter(std::chrono::milliseconds Time) {
  Timer.expires_after(Time);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error)
          Self->perform();
      });
}

} // namespace jasminecroft::detail
