// Long prompts beside short ones: asking for room at an engine, holding
// requests until there is some, and the book of the engines of other hosts.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A few round trips between hosts. Without an answer the request is sent as if
/// there were no book.
constexpr core_duration PromptRoomTimeout = milliseconds(50);
/// A host that left a question unanswered is not asked for this time.
constexpr core_duration SilentOwnerTime = seconds(1);
/// Short prompts beside long ones count for this time.
constexpr core_duration MixLifetime = seconds(60);
/// A held request uses at most this part of the time for which its stages'
/// results are kept.
constexpr int ResultTimeDivisor = 2;

std::string inMs(core_duration Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

std::uint64_t promptTokens(const serving_request &Request) {
  if (Request.PromptTokens > 0)
    return Request.PromptTokens;
  std::uint64_t Sum = 0;
  for (const prompt_block &Block : Request.Prefix)
    Sum += Block.Tokens;
  return Sum;
}

// Returns whether half of the prompt or more are parts that other requests have
// too: all but the last one.
bool isMostlyShared(const active_request &State) {
  const std::vector<prompt_block> &Prefix = State.Request.Prefix;
  std::uint64_t Shared = 0;
  for (std::size_t I = 0; I + 1 < Prefix.size(); ++I)
    Shared += Prefix[I].Tokens;
  return 2 * Shared >= promptTokens(State.Request);
}

} // namespace

const prompt_bound *
serving_impl::promptBound(const active_request &State) const {
  if (!State.Route->Streamed)
    return nullptr;
  auto Found = State.View->Prompts.find(State.Pool);
  return Found == State.View->Prompts.end() ? nullptr : &Found->second;
}

std::uint64_t serving_impl::uncachedTokens(const active_request &State,
                                           const backend_state &Server) const {
  return ReadParts.uncached(Server.Entry, State.Request.Prefix,
                            promptTokens(State.Request), Now);
}

core_duration serving_impl::readingTime(const pool_id &Pool,
                                        std::uint64_t Tokens,
                                        const backend_state *Server) const {
  double Micros =
      static_cast<double>(ReadingSpeed.timeFor(Pool, Tokens, Now).count());
  return core_duration(
      static_cast<std::int64_t>(Micros * (Server ? Server->Slowness : 1)));
}

bool serving_impl::isLongPrompt(const active_request &State,
                                std::uint64_t Tokens) const {
  const prompt_bound *Bound = promptBound(State);
  return Bound && Bound->isLong(readingTime(State.Pool, Tokens, nullptr));
}

// Returns what engines are known to read of long prompts: this host's own, and
// those in its book.
std::map<backend_id, double>
serving_impl::promptsBeingRead(const prompt_bound &Bound) {
  std::map<backend_id, core_duration> Readings = OwnPrompts.readings(Now);
  for (const std::pair<const backend_id, core_duration> &Booked :
       PromptBook.readings(Now)) {
    core_duration &Known = Readings[Booked.first];
    Known = std::max(Known, Booked.second);
  }
  std::map<backend_id, double> Result;
  for (const std::pair<const backend_id, core_duration> &Reading : Readings)
    Result[Reading.first] = static_cast<double>(Reading.second.count()) /
                            static_cast<double>(Bound.Reading.count());
  return Result;
}

// Returns the best engine for the request and the next ones of its zone. A
// prompt that is mostly shared is read only where its parts may be cached.
std::vector<prompt_candidate>
serving_impl::promptCandidates(const active_request &State) {
  std::vector<prompt_candidate> Result;
  auto Pool = State.View->Config->Pools.find(State.Pool);
  std::optional<zone_id> Zone;
  for (const backend_state *Server :
       rankedEngines(State, *Pool->second.Engine)) {
    const backend_id &Id = Server->Entry.Id;
    if (Server->AvoidUntil > Now || State.TriedServers.contains(Id) ||
        Zone.value_or(Server->Entry.Zone) != Server->Entry.Zone)
      continue;
    Zone = Server->Entry.Zone;
    Result.push_back({Id, uncachedTokens(State, *Server)});
    if (Result.size() == (isMostlyShared(State) ? 1 : MaxPromptCandidates))
      break;
  }
  return Result;
}

entry_host_id serving_impl::promptOwner(const pool_id &Pool,
                                        const zone_id &Zone) const {
  return Hosts.owner("prompts/" + Pool.Value + '/' + Zone.Value);
}

// Returns the longest time for which the request may be held: so long that it
// is on time, if it would be when sent now; otherwise its caller waits for
// little more.
core_duration serving_impl::longestHold(const active_request &State,
                                        const prompt_bound &Bound,
                                        core_duration Reading) const {
  core_duration First = std::max(Reading, firstByteTime(State));
  core_duration Longest = State.GoalAt - Now - First;
  if (Longest < core_duration{0})
    Longest = Bound.Reading;
  Longest = std::min(Longest, State.Deadline - Now - First - streamTime(State));
  for (const route_stage &Stage : State.Route->Stages) {
    auto Pool = State.View->Config->Pools.find(Stage.Pool);
    if (Pool != State.View->Config->Pools.end() && Pool->second.Batches)
      Longest = std::min(Longest, Pool->second.Batches->ResultLifetime /
                                      ResultTimeDivisor);
  }
  return std::max(Longest, core_duration{0});
}

// Returns true while the request waits for room at an engine. Only a request
// with a long prompt does, where short ones use the same engines; not one whose
// caller already has a part of the reply.
bool serving_impl::awaitPromptRoom(active_request &State) {
  prompt_wait &Wait = State.Prompt;
  if (Wait.Phase != prompt_phase::None)
    return Wait.Phase != prompt_phase::Ready;
  const prompt_bound *Bound = promptBound(State);
  if (!Bound || State.HeadRelayed || State.Permit)
    return false;
  if (!isLongPrompt(State, promptTokens(State.Request))) {
    ShortPromptAt[State.Pool] = Now;
    return false;
  }
  std::vector<prompt_candidate> Candidates = promptCandidates(State);
  if (Candidates.empty())
    return false;
  std::uint64_t Tokens = Candidates.front().Tokens;
  if (!isLongPrompt(State, Tokens)) {
    ShortPromptAt[State.Pool] = Now;
    return false;
  }
  const backend_state *Best = Servers.find(Candidates.front().Server);
  core_duration Reading = readingTime(State.Pool, Tokens, Best);
  auto Short = ShortPromptAt.find(State.Pool);
  if (!Bound->GoalsDiffer &&
      (Short == ShortPromptAt.end() || Now - Short->second > MixLifetime))
    return false;
  entry_host_id Owner = promptOwner(State.Pool, Best->Entry.Zone);
  auto Silent = SilentOwners.find(Owner);
  if (Silent != SilentOwners.end() && Now < Silent->second)
    return false;
  ++Counters.PromptsAsked;
  ++Wait.Attempt;
  Wait.AskedAt = Now;
  Wait.BookedAt = Owner;
  Wait.HoldAtMost = longestHold(State, *Bound, Reading);
  prompt_room_request Asked{State.Request.Number, Wait.Attempt, State.Pool,
                            std::move(Candidates), Wait.HoldAtMost};
  if (Owner == Settings.Self.Host)
    return holdPrompt(State, bookPrompt(Settings.Self, Asked));
  Wait.Phase = prompt_phase::Asked;
  Wait.Until = Now + PromptRoomTimeout;
  addTimer(Wait.Until, timer_kind::PromptRoom, State.Request.Number.Value);
  sendToHost(Owner, std::move(Asked));
  return true;
}

// Books a prompt in this host's book, by this host's own estimates.
prompt_grant serving_impl::bookPrompt(const host_run &Asker,
                                      const prompt_room_request &Asked) {
  std::vector<prompt_offer> Offers;
  for (const prompt_candidate &Candidate : Asked.Candidates)
    Offers.push_back(
        {Candidate.Server, readingTime(Asked.Pool, Candidate.Tokens,
                                       Servers.find(Candidate.Server))});
  if (Offers.empty())
    return {};
  const backend_id First = Offers.front().Server;
  if (!View)
    return {First, core_duration{0}};
  auto Bound = View->Prompts.find(Asked.Pool);
  if (Bound == View->Prompts.end())
    return {First, core_duration{0}};
  return PromptBook.book({Asker, Asked.Request, Asked.Attempt}, Offers,
                         Bound->second.Reading, Asked.HoldAtMost, Now);
}

// Takes the answer; returns whether the request is held.
bool serving_impl::holdPrompt(active_request &State,
                              const prompt_grant &Grant) {
  prompt_wait &Wait = State.Prompt;
  Wait.Granted = Grant.Server;
  Wait.Phase = prompt_phase::Ready;
  if (Grant.In <= core_duration{0} || Grant.In > Wait.HoldAtMost)
    return false;
  ++Counters.PromptsHeld;
  Wait.Phase = prompt_phase::Held;
  Wait.Until = Now + Grant.In;
  addTimer(Wait.Until, timer_kind::PromptRoom, State.Request.Number.Value);
  log(event_number::PromptHeld, event_severity::Info,
      "long prompt is held until a model engine has room for it",
      {{"request", State.Request.CallerId.Value},
       {"server", Grant.Server.Value},
       {"for_ms", inMs(Grant.In)},
       {"book_at", Wait.BookedAt.value_or(entry_host_id()).Value}});
  return true;
}

void serving_impl::onPromptTimer(request_id Request) {
  active_request *State = find(Request);
  if (!State || Now < State->Prompt.Until)
    return;
  prompt_wait &Wait = State->Prompt;
  if (Wait.Phase != prompt_phase::Asked && Wait.Phase != prompt_phase::Held)
    return;
  if (Wait.Phase == prompt_phase::Asked) {
    ++Counters.PromptsUnanswered;
    SilentOwners[*Wait.BookedAt] = Now + SilentOwnerTime;
    log(event_number::PromptRoomUnanswered, event_severity::Info,
        "no host said where a long prompt has room",
        {{"request", State->Request.CallerId.Value},
         {"book_at", Wait.BookedAt->Value}});
  }
  Wait.Phase = prompt_phase::Ready;
  sendCall(*State);
}

prompt_key serving_impl::promptKey(const active_request &State) const {
  return {Settings.Self, State.Request.Number, State.Prompt.Attempt};
}

// A call is being sent to Server. If that is not the engine at which the prompt
// is booked, the booking ends.
void serving_impl::onPromptSent(active_request &State,
                                const backend_state &Server) {
  if (!promptBound(State))
    return;
  prompt_wait &Wait = State.Prompt;
  Wait.Phase = prompt_phase::None;
  Wait.Tokens = uncachedTokens(State, Server);
  if (Wait.Granted && *Wait.Granted != Server.Entry.Id)
    endBooking(State);
  Wait.Granted.reset();
  if (isLongPrompt(State, Wait.Tokens))
    OwnPrompts.add(
        promptKey(State),
        {Server.Entry.Id, readingTime(State.Pool, Wait.Tokens, &Server)}, Now);
}

// The first event of a call arrived.
void serving_impl::onPromptRead(active_request &State) {
  if (!promptBound(State))
    return;
  ReadingSpeed.observe(State.Pool, State.Prompt.Tokens, Now - State.SentAt,
                       Now);
  ReadParts.onRead(State.Server, State.Request.Prefix, Now);
  endPrompt(State);
}

void serving_impl::endPrompt(active_request &State) {
  if (!promptBound(State))
    return;
  OwnPrompts.end(promptKey(State));
  endBooking(State);
}

void serving_impl::endBooking(active_request &State) {
  std::optional<entry_host_id> &BookedAt = State.Prompt.BookedAt;
  if (!BookedAt)
    return;
  if (*BookedAt == Settings.Self.Host)
    PromptBook.end(promptKey(State));
  else
    sendToHost(*BookedAt,
               prompt_read{State.Request.Number, State.Prompt.Attempt});
  BookedAt.reset();
}

void serving_impl::on(const host_run &Sender, const prompt_room_request &Body) {
  prompt_grant Grant = bookPrompt(Sender, Body);
  sendToHost(Sender.Host, prompt_room_reply{Body.Request, Body.Attempt,
                                            Grant.Server, Grant.In});
}

void serving_impl::on(const host_run &Sender, const prompt_room_reply &Body) {
  SilentOwners.erase(Sender.Host);
  active_request *State = find(Body.Request);
  if (!State || State->Prompt.Phase != prompt_phase::Asked ||
      State->Prompt.Attempt != Body.Attempt)
    return;
  if (!holdPrompt(*State, {Body.Server, Body.In}))
    sendCall(*State);
}

void serving_impl::on(const host_run &Sender, const prompt_read &Body) {
  PromptBook.end({Sender, Body.Request, Body.Attempt});
}

} // namespace jasminecroft::detail
