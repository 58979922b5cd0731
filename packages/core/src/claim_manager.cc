// Claims: create if absent before dispatch, resolve duplicates, hand outcomes
// to the settler.
#include "jasminecroft/core/detail/claim_manager.h"

#include <algorithm>
#include <vector>

namespace jasminecroft::detail {

namespace {

constexpr std::uint32_t MaxRereads = 2;

claim_decision platformUnavailable() {
  return claim_denied{error_code::PlatformUnavailable, key_status::Unread,
                      RetryAfterPlatformAway};
}

claim_decision undecidedAsHeld() {
  return claim_denied{error_code::ClaimUndecided, key_status::Uncertain,
                      RetryAfterUndecided};
}

} // namespace

claim_start claim_manager::want(const claim_wish &Wish) {
  if (std::optional<claim_decision> Local = decideLocally(Wish))
    return *Local;
  if (Store.away())
    return platformUnavailable();
  Last = Last.next();
  claim &Claim = Claims[Last];
  Claim.DecideBy = Wish.DecideBy;
  Claim.Deadline = Wish.Deadline;
  claim_record &Record = Claim.Record;
  Record.Workspace = Wish.Workspace;
  Record.Key = Wish.Key;
  Record.Stage = Wish.Stage;
  Record.Holder = Context.self();
  Record.Attempt = Context.newAttempt();
  Record.Request = Wish.Fingerprint;
  Record.CallNumber = Wish.CallNumber;
  Record.ClaimedAt = Context.wallNow();
  Record.Deadline =
      Record.ClaimedAt + std::chrono::duration_cast<std::chrono::milliseconds>(
                             Wish.Deadline - Context.now());
  ByKey.emplace(keyOf(Record), Last);
  enter(Last, Claim, phase::Creating);
  return Last;
}

std::optional<claim_decision>
claim_manager::decideLocally(const claim_wish &Wish) const {
  object_key Key = claimKey(Wish.Workspace, Wish.Key, Wish.Stage);
  const claim_record *Known = Settler.pendingRun(Key);
  auto Own = ByKey.find(Key);
  if (Own != ByKey.end())
    Known = &Claims.at(Own->second).Record;
  if (!Known)
    return std::nullopt;
  claim_resolution Resolution =
      resolveRecord(*Known, Wish.Fingerprint, Wish.CallNumber);
  if (const claim_decision *Decision = std::get_if<claim_decision>(&Resolution))
    return *Decision;
  return inProgressElsewhere();
}

void claim_manager::enter(claim_handle Handle, claim &Claim, phase Phase) {
  Claim.Phase = Phase;
  makeCall(Handle, Claim);
}

void claim_manager::makeCall(claim_handle Handle, claim &Claim) {
  Claim.RetryAt.reset();
  claim_call_id Call;
  switch (Claim.Phase) {
  case phase::Creating:
    Claim.WriteInFlight = true;
    Call = Store.create(*this, Claim.Record);
    break;
  case phase::Replacing:
    Claim.WriteInFlight = true;
    Call = Store.replace(*this, Claim.Record, Claim.Other->Version);
    break;
  case phase::Reading:
    Call = Store.read(*this, keyOf(Claim.Record));
    break;
  case phase::Asking:
  case phase::Granted:
  case phase::Dispatched:
    return;
  }
  Calls.emplace(Call, Handle);
}

void claim_manager::onClaimResult(claim_call_id Call,
                                  const claim_store_result &Result) {
  auto Pending = Calls.find(Call);
  if (Pending == Calls.end())
    return;
  claim_handle Handle = Pending->second;
  Calls.erase(Pending);
  auto Entry = Claims.find(Handle);
  if (Entry == Claims.end())
    return;
  claim &Claim = Entry->second;
  bool WasWrite = Claim.WriteInFlight;
  Claim.WriteInFlight = false;
  if (const claim_stored *Stored = std::get_if<claim_stored>(&Result))
    grant(Entry, Stored->Version);
  else if (const claim_found *Found = std::get_if<claim_found>(&Result))
    onFound(Entry, *Found);
  else if (std::holds_alternative<claim_absent>(Result))
    enter(Handle, Claim, phase::Creating);
  else if (std::holds_alternative<claim_conflict>(Result))
    enter(Handle, Claim, phase::Reading);
  else if (std::holds_alternative<claim_unreadable>(Result))
    decide(Entry, undecidedAsHeld());
  else
    onNoEffectKnown(Entry, WasWrite &&
                               std::holds_alternative<claim_call_lost>(Result));
}

// The call was refused or its answer lost.
void claim_manager::onNoEffectKnown(claim_map::iterator Entry, bool WriteLost) {
  claim &Claim = Entry->second;
  Claim.WriteLost |= WriteLost;
  if (Store.away())
    giveUpUndecided(Entry, error_code::PlatformUnavailable);
  else if (WriteLost)
    enter(Entry->first, Claim, phase::Reading);
  else
    Claim.RetryAt = Context.now() + Store.backoff();
}

void claim_manager::grant(claim_map::iterator Entry, object_version Version) {
  claim &Claim = Entry->second;
  Claim.Version = Version;
  Claim.Phase = phase::Granted;
  Context.log(event_number::ClaimTaken, event_severity::Info, "claim taken",
              {{"claim", keyOf(Claim.Record).Value}});
  Listener.onClaimDecided(Entry->first, claim_granted{});
}

void claim_manager::onFound(claim_map::iterator Entry,
                            const claim_found &Found) {
  claim &Claim = Entry->second;
  bool Own = Found.Record.Holder == Claim.Record.Holder &&
             Found.Record.Attempt == Claim.Record.Attempt;
  if (Own) {
    grant(Entry, Found.Version);
    return;
  }
  Claim.Other = Found;
  claim_resolution Resolution = resolveRecord(
      Found.Record, Claim.Record.Request, Claim.Record.CallNumber);
  if (const claim_decision *Decision = std::get_if<claim_decision>(&Resolution))
    decide(Entry, *Decision);
  else if (std::holds_alternative<claim_replaceable>(Resolution))
    enter(Entry->first, Claim, phase::Replacing);
  else
    askHolder(Entry);
}

void claim_manager::askHolder(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  Claim.Phase = phase::Asking;
  const claim_record &Held = Claim.Other->Record;
  if (Held.Holder == Context.self()) {
    claim_query Query{0, keyOf(Held), Held.Attempt};
    claim_query_reply Reply = answerTo(Query);
    onInquiryResult(Entry->first, holder_says{Reply.Answer, Reply.Output});
    return;
  }
  if (std::optional<inquiry_result> Known = Inquiry.ask(Entry->first, Held))
    onInquiryResult(Entry->first, *Known);
}

void claim_manager::onInquiryResult(claim_handle Handle,
                                    const inquiry_result &Result) {
  auto Entry = Claims.find(Handle);
  if (Entry == Claims.end() || Entry->second.Phase != phase::Asking)
    return;
  if (std::holds_alternative<holder_gone>(Result))
    decide(Entry, outcomeUnknown());
  else if (std::holds_alternative<holder_silent>(Result))
    decide(Entry, undecidedAsHeld());
  else
    onHolderAnswer(Entry, std::get<holder_says>(Result));
}

void claim_manager::onHolderAnswer(claim_map::iterator Entry,
                                   const holder_says &Says) {
  switch (Says.Answer) {
  case claim_answer::InProgress:
    decide(Entry, inProgressElsewhere());
    return;
  case claim_answer::Done:
    if (Says.Output)
      decide(Entry, claim_done_before{*Says.Output});
    else
      readAgain(Entry);
    return;
  case claim_answer::Abandoned:
    onAbandoned(Entry);
    return;
  case claim_answer::Unknown:
    decide(Entry, outcomeUnknown());
    return;
  case claim_answer::NotMine:
    readAgain(Entry);
    return;
  }
}

// The holder has promised never to dispatch.
void claim_manager::onAbandoned(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  if (!mayReplace(Claim.Other->Record, Claim.Record.CallNumber))
    decide(Entry, superseded());
  else if (Store.away())
    giveUpUndecided(Entry, error_code::PlatformUnavailable);
  else
    enter(Entry->first, Claim, phase::Replacing);
}

// The holder has settled the record since it was read.
void claim_manager::readAgain(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  if (Store.away() || Claim.Rereads >= MaxRereads) {
    decide(Entry, undecidedAsHeld());
    return;
  }
  ++Claim.Rereads;
  enter(Entry->first, Claim, phase::Reading);
}

void claim_manager::giveUpUndecided(claim_map::iterator Entry,
                                    error_code Code) {
  const claim &Claim = Entry->second;
  Context.log(event_number::ClaimUndecided, event_severity::Warning,
              "claim undecided, call not dispatched",
              {{"claim", keyOf(Claim.Record).Value}});
  bool Held = Claim.Other && Claim.Other->Record.State == claim_state::Claimed;
  claim_denied Denied;
  Denied.Code = Code;
  Denied.Key = Held ? key_status::Uncertain : key_status::Unread;
  Denied.RetryAfter = Code == error_code::PlatformUnavailable
                          ? RetryAfterPlatformAway
                          : RetryAfterUndecided;
  decide(Entry, Denied);
}

// Ends an undecided claim and says so.
void claim_manager::decide(claim_map::iterator Entry,
                           const claim_decision &Decision) {
  claim_handle Handle = Entry->first;
  if (Entry->second.Other)
    Context.log(event_number::ClaimDuplicate, event_severity::Info,
                "idempotency key was claimed before",
                {{"claim", keyOf(Entry->second.Record).Value}});
  remove(Entry);
  Listener.onClaimDecided(Handle, Decision);
}

// Forgets a claim that was never dispatched, and has its record released if
// there may be one.
void claim_manager::remove(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  Inquiry.cancel(Entry->first);
  std::optional<object_version> Version;
  if (Claim.Phase == phase::Granted)
    Version = Claim.Version;
  if (Version || Claim.WriteLost || Claim.WriteInFlight) {
    Claim.Record.State = claim_state::NotRun;
    Settler.settle(Claim.Record, Version);
  }
  forget(Entry);
}

void claim_manager::forget(claim_map::iterator Entry) {
  ByKey.erase(keyOf(Entry->second.Record));
  Claims.erase(Entry);
}

bool claim_manager::dispatch(claim_handle Handle) {
  auto Found = Claims.find(Handle);
  if (Found == Claims.end() || Found->second.Phase != phase::Granted)
    return false;
  if (Found->second.Deadline <= Context.now())
    return false;
  Found->second.Phase = phase::Dispatched;
  return true;
}

void claim_manager::revertDispatch(claim_handle Handle) {
  auto Found = Claims.find(Handle);
  if (Found != Claims.end() && Found->second.Phase == phase::Dispatched)
    Found->second.Phase = phase::Granted;
}

void claim_manager::abandon(claim_handle Handle) {
  auto Found = Claims.find(Handle);
  if (Found != Claims.end() && Found->second.Phase != phase::Dispatched)
    remove(Found);
}

void claim_manager::recordDone(claim_handle Handle,
                               std::optional<std::string> Output) {
  if (Output && Output->size() > MaxRecordedOutputBytes)
    Output.reset();
  record(Handle, claim_state::Done, std::move(Output));
}

void claim_manager::recordUnknown(claim_handle Handle) {
  record(Handle, claim_state::Unknown, std::nullopt);
}

void claim_manager::record(claim_handle Handle, claim_state State,
                           std::optional<std::string> Output) {
  auto Found = Claims.find(Handle);
  if (Found == Claims.end() || Found->second.Phase != phase::Dispatched)
    return;
  claim_record &Record = Found->second.Record;
  Record.State = State;
  Record.Output = std::move(Output);
  Settler.settle(Record, Found->second.Version);
  forget(Found);
}

void claim_manager::onPeer(const peer_message &Message) {
  Inquiry.onPeer(Message);
  const claim_query *Query = std::get_if<claim_query>(&Message.Body);
  if (!Query)
    return;
  std::optional<endpoint> Address = Members.addressOf(Message.Sender.Host);
  if (Address)
    Context.send(Message.Sender.Host, *Address, answerTo(*Query));
}

claim_query_reply claim_manager::answerTo(const claim_query &Query) const {
  claim_query_reply Reply;
  Reply.Sequence = Query.Sequence;
  Reply.Claim = Query.Claim;
  Reply.Attempt = Query.Attempt;
  auto Own = ByKey.find(Query.Claim);
  if (Own != ByKey.end() &&
      Claims.at(Own->second).Record.Attempt == Query.Attempt) {
    Reply.Answer = claim_answer::InProgress;
    return Reply;
  }
  const claim_record *Settled = Settler.pending(Query.Claim, Query.Attempt);
  if (!Settled)
    return Reply;
  if (Settled->State == claim_state::Done)
    Reply.Answer = claim_answer::Done;
  else if (Settled->State == claim_state::NotRun)
    Reply.Answer = claim_answer::Abandoned;
  else
    Reply.Answer = claim_answer::Unknown;
  Reply.Output = Settled->Output;
  return Reply;
}

void claim_manager::checkStore() {
  if (!Store.away())
    return;
  std::vector<claim_handle> Waiting;
  for (const std::pair<const claim_handle, claim> &Entry : Claims)
    if (waitsForStore(Entry.second))
      Waiting.push_back(Entry.first);
  for (claim_handle Handle : Waiting) {
    auto Entry = Claims.find(Handle);
    if (Entry != Claims.end())
      giveUpUndecided(Entry, error_code::PlatformUnavailable);
  }
}

void claim_manager::onWakeup() {
  Settler.onWakeup();
  Inquiry.onWakeup();
  std::vector<claim_handle> TimedOut;
  for (std::pair<const claim_handle, claim> &Entry : Claims) {
    claim &Claim = Entry.second;
    if (isUndecided(Claim) && Claim.DecideBy <= Context.now())
      TimedOut.push_back(Entry.first);
    else if (Claim.RetryAt && *Claim.RetryAt <= Context.now())
      makeCall(Entry.first, Claim);
  }
  for (claim_handle Handle : TimedOut) {
    auto Entry = Claims.find(Handle);
    if (Entry != Claims.end())
      giveUpUndecided(Entry, error_code::ClaimUndecided);
  }
}

std::optional<core_time> claim_manager::nextWakeup() const {
  std::optional<core_time> Next = Settler.nextWakeup();
  std::optional<core_time> Asked = Inquiry.nextWakeup();
  if (Asked && (!Next || *Asked < *Next))
    Next = Asked;
  for (const std::pair<const claim_handle, claim> &Entry : Claims) {
    const claim &Claim = Entry.second;
    if (!isUndecided(Claim))
      continue;
    core_time Due =
        std::min(Claim.DecideBy, Claim.RetryAt.value_or(Claim.DecideBy));
    if (!Next || Due < *Next)
      Next = Due;
  }
  return Next;
}

} // namespace jasminecroft::detail
