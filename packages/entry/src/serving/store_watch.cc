// List, watch, and the way back after failures, silence and lost history.
#include "store_watch.h"

#include <algorithm>

namespace jasminecroft::detail {

using std::chrono::milliseconds;

namespace {

/// Calls without an answer are kept beside later ones for this long, as a slow
/// store may still answer them.
constexpr milliseconds UnansweredTime = 3 * StoreAnswerTime;
/// A call that waits no longer than this is answered at once.
constexpr milliseconds ShortWatch{1};
/// A watch without changes that took less is not repeated at once: an answer of
/// old data need not wait.
constexpr milliseconds LeastWatch{1'000};
constexpr milliseconds FirstPause{100};
constexpr milliseconds LongestPause{1'500};
/// A watch that waits for another one to reach the store tries by itself then.
constexpr milliseconds OwnTryTime{2'000};
/// Bytes a second that a watch reads in the mean: half of the narrowest link,
/// of 10 Mbit/s.
constexpr std::size_t ReadBytesPerSecond = 625'000;
constexpr milliseconds LongestReadPause{1'000};
/// Pauses vary by this part up and down.
constexpr double PauseSpread = 0.3;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

} // namespace

std::string_view toText(exchange_failure Failure) {
  switch (Failure) {
  case exchange_failure::NotConnected:
    return "not connected";
  case exchange_failure::TimedOut:
    return "no answer in time";
  case exchange_failure::Broken:
    return "connection broken";
  }
  return "connection broken";
}

milliseconds retry_pause::next() {
  Last = Last.count() == 0 ? FirstPause : std::min(Last * 2, LongestPause);
  std::uniform_real_distribution<double> Spread(1 - PauseSpread,
                                                1 + PauseSpread);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Last.count()) * Spread(Random)));
}

void store_reach::add(const std::shared_ptr<store_watch> &Watch) {
  Watches.push_back(Watch);
}

bool store_reach::onAway(const store_watch &Watch) {
  if (!Trying)
    Trying = &Watch;
  return Trying == &Watch;
}

void store_reach::onAnswered(const store_watch &Watch) {
  if (!Trying)
    return;
  Trying = nullptr;
  for (const std::weak_ptr<store_watch> &Known : Watches)
    if (std::shared_ptr<store_watch> Other = Known.lock())
      if (Other.get() != &Watch)
        Other->resume();
}

void store_reach::giveUpTrying(const store_watch &Watch) {
  if (Trying == &Watch)
    Trying = nullptr;
}

bool store_reach::noteEra(store_era Stated, const store_watch *Asker) {
  if (Stated <= Era)
    return false;
  bool Later = Era != store_era();
  Era = Stated;
  if (Later && OnLaterEra)
    OnLaterEra(Era);
  for (const std::weak_ptr<store_watch> &Known : Watches)
    if (std::shared_ptr<store_watch> Other = Known.lock())
      if (Other.get() != Asker && (Later || Other->hasRead()))
        Other->startOver();
  return true;
}

/// Hears of one call of a watch that may be gone by then.
class store_watch::answer final : public exchange_listener {
public:
  answer(std::weak_ptr<store_watch> Watch, std::uint64_t Id)
      : Watch(std::move(Watch)), Id(Id) {}
  bool onStreamText(std::string_view) override { return false; }
  void onAnswerHeader(std::string_view Value) override {
    if (std::shared_ptr<store_watch> Target = Watch.lock())
      Target->onEra(Id, platform::decodeEra(Value));
  }
  void onComplete(unsigned Status, std::string Body) override {
    if (std::shared_ptr<store_watch> Target = Watch.lock())
      Target->onAnswer(Id, Status, Body);
  }
  void onFailed(exchange_failure Failure) override {
    if (std::shared_ptr<store_watch> Target = Watch.lock())
      Target->onCallFailed(Id, toText(Failure));
  }

private:
  std::weak_ptr<store_watch> Watch;
  std::uint64_t Id;
};

store_watch::store_watch(boost::asio::io_context &Context, http_client &Client,
                         endpoint Store, std::string_view Kind,
                         const watch_rules &Rules, std::uint64_t Seed,
                         store_reach &Reach, store_watch_listener &Listener)
    : Client(Client), Store(std::move(Store)), Kind(Kind), Rules(Rules),
      Reach(Reach), Listener(Listener), Timer(Context), Pause(Seed) {}

void store_watch::start() {
  Reach.add(shared_from_this());
  call();
}

void store_watch::stop() {
  Stopped = true;
  Timer.cancel();
  cancelCalls();
}

void store_watch::resume() {
  bool JustAsked = Checking && !Calls.empty() &&
                   clock::now() - Calls.back().Begun < FirstPause;
  bool Wanted = !OnDemand || Checking || Listing;
  if (Stopped || JustAsked || !Wanted)
    return;
  Checking = true;
  call();
}

void store_watch::startOver() {
  bool Asks = !OnDemand || Checking || (Listing && !Calls.empty());
  forget();
  if (Stopped || !Asks)
    return;
  Checking = true;
  call();
}

void store_watch::forget() {
  cancelCalls();
  Timer.cancel();
  Pages.clear();
  Listing = true;
}

void store_watch::check() {
  CheckAgain |= OnDemand && Checking;
  if (Stopped || Checking)
    return;
  Checking = true;
  clock::time_point Now = clock::now();
  if (Calls.empty() && Now < NextReadAt)
    callAfter(std::chrono::ceil<milliseconds>(NextReadAt - Now));
  else
    call();
}

// Returns the pause before the next call: the time for changes to gather, or
// more after a large answer.
milliseconds store_watch::pauseAfter(std::size_t Bytes) {
  constexpr std::size_t MsPerSecond = 1'000;
  milliseconds Rest(
      static_cast<std::int64_t>(Bytes * MsPerSecond / ReadBytesPerSecond));
  Rest = std::min(Rest, LongestReadPause);
  NextReadAt = clock::now() + Rest;
  return std::max(Rest, Rules.Gathering);
}

void store_watch::setOnDemand(bool Wanted) {
  if (OnDemand == Wanted)
    return;
  OnDemand = Wanted;
  if (!OnDemand) {
    resume();
  } else if (!Listing && !Checking) {
    cancelCalls();
    Timer.cancel();
  }
}

void store_watch::onTold(object_version Revision) {
  if (!OnDemand || Listing)
    return;
  if (Revision.Era != Since.Era) {
    if (Revision.Era > Since.Era)
      startOver();
    return;
  }
  Since = std::max(Since, Revision);
  HeardAt = clock::now();
  if (!Checking)
    return;
  // What the check was to find out is known.
  cancelCalls();
  Timer.cancel();
  Checking = false;
  Reach.giveUpTrying(*this);
}

void store_watch::setClose(bool Closely) {
  bool Sooner = Closely && !Close && Rules.CloseWatchTime < Rules.WatchTime;
  Close = Closely;
  if (Sooner)
    check();
}

void store_watch::call() {
  if (Stopped)
    return;
  bool AtOnce = Listing || Checking;
  if (OnDemand && !AtOnce)
    return;
  ++(Listing ? Counts.Lists : Checking ? Counts.Checks : Counts.Watches);
  exchange_request Request;
  Request.Address = Store;
  Request.AnswerHeader = platform::StoreEraHeader;
  Request.ConnectTimeout = StoreConnectTime;
  milliseconds Limit = UnansweredTime;
  if (Listing) {
    std::string After = Pages.empty() ? "" : Pages.back().Name;
    // Old data could be of the era before.
    bool LaterEra = Since.Era != store_era() && Since.Era < Reach.era();
    Request.Target =
        platform::listTarget(Kind, After, Rules.MayBeOld && !LaterEra);
  } else {
    milliseconds Long = Close ? Rules.CloseWatchTime : Rules.WatchTime;
    milliseconds Wait = AtOnce ? ShortWatch : Long;
    Request.Target = platform::watchTarget(Kind, Since, Wait, Rules.MayBeOld);
    if (!AtOnce)
      Limit = Long + StoreAnswerTime;
  }
  Request.Timeout = Limit;
  Calls.push_back({++LastCall, clock::now(), Limit, Listing, nullptr, {}});
  if (Lost)
    Listener.onCallBegun(report(Calls.back(), ""));
  Calls.back().Exchange = Client.start(
      std::move(Request), std::make_shared<answer>(weak_from_this(), LastCall));
  if (AtOnce)
    callAfter(StoreAnswerTime);
  else
    Timer.cancel();
}

void store_watch::onEra(std::uint64_t Id, store_era Era) {
  if (auto Found = findCall(Id); Found != Calls.end())
    Found->Era = Era;
}

void store_watch::onAnswer(std::uint64_t Id, unsigned Status,
                           const std::string &Body) {
  std::optional<started_call> Call = takeCall(Id);
  if (!Call)
    return;
  store_era Era = Call->Era;
  bool LaterEra = Reach.noteEra(Era, this);
  bool BeginsList = Listing && Call->Lists && Pages.empty();
  if (LaterEra)
    forget();
  if (Status != StatusOk && Status != StatusGone) {
    std::string Why = "status " + std::to_string(Status);
    bool Away = Status == StatusTooMany || Status == StatusUnavailable;
    if (!Away)
      cancelCalls();
    onCallFailed(*Call, Why, Away ? failure::StoreAway : failure::OwnKind);
    return;
  }
  if (Era < Reach.era()) {
    onCallFailed(*Call, "answer of an earlier era", failure::OwnKind);
    return;
  }
  AnsweredCallAt = Call->Begun;
  HeardAt = clock::now();
  cancelCalls();
  Timer.cancel();
  Checking = false;
  if (Lost) {
    Lost = false;
    Listener.onStoreBack(Kind);
  }
  Reach.onAnswered(*this);
  if (Status == StatusGone || (LaterEra && !BeginsList)) {
    // The changes since the last answer are not known.
    Pages.clear();
    Listing = true;
    Checking = LaterEra;
    call();
  } else if (Listing) {
    onListed(Body, Era);
  } else {
    onEvents(Body, Era);
  }
}

void store_watch::onListed(const std::string &Body, store_era Era) {
  std::variant<platform::object_list, platform::object_error> Decoded =
      platform::decodeList(Body, Era);
  if (platform::object_error *Error =
          std::get_if<platform::object_error>(&Decoded)) {
    onFailed(platform::toText(Error->Problem), failure::OwnKind);
    return;
  }
  platform::object_list &List = std::get<platform::object_list>(Decoded);
  for (const platform::unreadable_object &Object : List.Unreadable)
    Listener.onUnreadable(Kind, Object);
  if (Pages.empty())
    FirstPage = List.Current;
  bool More = List.More && !List.Objects.empty();
  Pages.insert(Pages.end(), std::make_move_iterator(List.Objects.begin()),
               std::make_move_iterator(List.Objects.end()));
  if (More) {
    call();
    return;
  }
  Pause.reset();
  // Changes made while the pages were read come with the watch.
  Since = FirstPage;
  std::vector<platform::store_object> Objects = std::exchange(Pages, {});
  Listing = false;
  Listener.onObjects(Kind, Objects, Since);
  callAfter(pauseAfter(Body.size()));
  if (std::exchange(CheckAgain, false))
    check();
}

void store_watch::onEvents(const std::string &Body, store_era Era) {
  std::variant<platform::object_events, platform::object_error> Decoded =
      platform::decodeEvents(Body, Era);
  if (platform::object_error *Error =
          std::get_if<platform::object_error>(&Decoded)) {
    onFailed(platform::toText(Error->Problem), failure::OwnKind);
    return;
  }
  Pause.reset();
  platform::object_events &Events = std::get<platform::object_events>(Decoded);
  for (const platform::unreadable_object &Object : Events.Unreadable)
    Listener.onUnreadable(Kind, Object);
  for (const platform::store_object &Object : Events.Changes)
    Listener.onChange(Kind, Object);
  // An answer of old data may state an earlier revision of the same era.
  Since = std::max(Since, Events.Current);
  Listener.onReadTo(Kind, Since);
  if (Events.Changes.empty()) {
    bool Early = clock::now() - AnsweredCallAt < LeastWatch;
    if (Rules.MayBeOld && Early)
      callAfter(LeastWatch);
    else
      call();
  } else {
    callAfter(pauseAfter(Body.size()));
  }
  if (std::exchange(CheckAgain, false))
    check();
}

std::vector<store_watch::started_call>::iterator
store_watch::findCall(std::uint64_t Id) {
  return std::find_if(Calls.begin(), Calls.end(),
                      [Id](const started_call &Call) { return Call.Id == Id; });
}

std::optional<store_watch::started_call>
store_watch::takeCall(std::uint64_t Id) {
  auto Found = findCall(Id);
  if (Stopped || Found == Calls.end())
    return std::nullopt;
  started_call Call = std::move(*Found);
  Calls.erase(Found);
  return Call;
}

void store_watch::onCallFailed(std::uint64_t Id, std::string_view Why) {
  if (std::optional<started_call> Call = takeCall(Id))
    onCallFailed(*Call, Why, failure::StoreAway);
}

void store_watch::onCallFailed(const started_call &Call, std::string_view Why,
                               failure Failure) {
  store_call_report Report = report(Call, Why);
  if (Calls.empty())
    onFailed(Why, Failure);
  Listener.onCallFailed(Report);
}

void store_watch::onFailed(std::string_view Why, failure Failure) {
  cancelCalls();
  Checking = true;
  setLost(Why);
  if (Failure == failure::OwnKind) {
    Reach.giveUpTrying(*this);
    callAfter(Pause.next());
  } else {
    callAfter(Reach.onAway(*this) ? Pause.next() : OwnTryTime);
  }
}

void store_watch::setLost(std::string_view Why) {
  if (Lost)
    return;
  Lost = true;
  Listener.onStoreLost(Kind, Why);
}

void store_watch::cancelCalls() {
  std::vector<started_call> Cancelled = std::exchange(Calls, {});
  for (const started_call &Call : Cancelled)
    if (Call.Exchange)
      Call.Exchange->cancel();
}

store_call_report store_watch::report(const started_call &Call,
                                      std::string_view Why) const {
  milliseconds Took =
      std::chrono::duration_cast<milliseconds>(clock::now() - Call.Begun);
  return {Kind, Call.Lists ? "list" : "watch", Call.Limit, Took,
          std::string(Why)};
}

milliseconds store_watch::silence() const {
  return std::chrono::duration_cast<milliseconds>(clock::now() - HeardAt);
}

void store_watch::callAfter(milliseconds Time) {
  Timer.expires_after(Time);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error && !Self->Stopped)
          Self->onTimer();
      });
}

void store_watch::onTimer() {
  if (!Calls.empty()) {
    // Without an answer in time.
    Checking = true;
    setLost("no answer in time");
    if (!Reach.onAway(*this)) {
      callAfter(OwnTryTime);
      return;
    }
  }
  call();
}

} // namespace jasminecroft::detail
