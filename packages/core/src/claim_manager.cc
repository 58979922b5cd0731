// Creates claim records before dispatch, resolves duplicates and passes
// outcomes to the record writer.
#include "jasminecroft/core/detail/claim_manager.h"

#include <algorithm>
#include <vector>

namespace jasminecroft::detail {

namespace {

constexpr std::uint32_t MaxRereads = 2;

claim_decision platformUnavailable() {
  return claim_denied{error_code::PlatformUnavailable, key_status::Unread,
                      RetryAfterPlatformUnavailable};
}

claim_decision deniedAsHeld() {
  return claim_denied{error_code::ClaimUndecided, key_status::Uncertain,
                      RetryAfterUndecided};
}

} // namespace

acquire_result claim_manager::acquire(const claim_params &Params) {
  if (std::optional<claim_decision> Local = decideLocally(Params))
    return *Local;
  if (Store.unavailable())
    return platformUnavailable();
  LastHandle = LastHandle.next();
  claim &Claim = Claims[LastHandle];
  Claim.DecideBy = Params.DecideBy;
  Claim.Deadline = Params.Deadline;
  claim_record &Record = Claim.Record;
  Record.Workspace = Params.Workspace;
  Record.Key = Params.Key;
  Record.Stage = Params.Stage;
  Record.Holder = Context.self();
  Record.Attempt = Context.newAttempt();
  Record.Request = Params.Fingerprint;
  Record.CallNumber = Params.CallNumber;
  Record.ClaimedAt = Context.wallNow();
  Record.Deadline =
      Record.ClaimedAt + std::chrono::duration_cast<std::chrono::milliseconds>(
                             Params.Deadline - Context.now());
  ByKey.emplace(keyOf(Record), LastHandle);
  enterPhase(LastHandle, Claim, phase::Creating);
  return LastHandle;
}

std::optional<claim_decision>
claim_manager::decideLocally(const claim_params &Params) const {
  object_key Key = claimKey(Params.Workspace, Params.Key, Params.Stage);
  const claim_record *Known = RecordWriter.pendingExecution(Key);
  auto Own = ByKey.find(Key);
  if (Own != ByKey.end())
    Known = &Claims.at(Own->second).Record;
  if (!Known)
    return std::nullopt;
  claim_resolution Resolution =
      resolveRecord(*Known, Params.Fingerprint, Params.CallNumber);
  if (const claim_decision *Decision = std::get_if<claim_decision>(&Resolution))
    return *Decision;
  return inProgressElsewhere();
}

void claim_manager::enterPhase(claim_handle Handle, claim &Claim, phase Phase) {
  Claim.Phase = Phase;
  issueCall(Handle, Claim);
}

void claim_manager::issueCall(claim_handle Handle, claim &Claim) {
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
  case phase::QueryingHolder:
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
    enterPhase(Handle, Claim, phase::Creating);
  else if (std::holds_alternative<claim_conflict>(Result))
    enterPhase(Handle, Claim, phase::Reading);
  else if (std::holds_alternative<claim_unreadable>(Result))
    decide(Entry, deniedAsHeld());
  else
    onCallFailed(Entry,
                 WasWrite && std::holds_alternative<claim_call_lost>(Result));
}

// Handles a store call that was refused or got no answer.
void claim_manager::onCallFailed(claim_map::iterator Entry, bool WriteLost) {
  claim &Claim = Entry->second;
  Claim.WriteLost |= WriteLost;
  if (Store.unavailable())
    denyUndecided(Entry, error_code::PlatformUnavailable);
  else if (WriteLost)
    enterPhase(Entry->first, Claim, phase::Reading);
  else
    Claim.RetryAt = Context.now() + Store.backoff();
}

void claim_manager::grant(claim_map::iterator Entry, object_version Version) {
  claim &Claim = Entry->second;
  Claim.Version = Version;
  Claim.Phase = phase::Granted;
  Context.log(event_number::ClaimTaken, event_severity::Info, "claim acquired",
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
    enterPhase(Entry->first, Claim, phase::Replacing);
  else
    queryHolder(Entry);
}

void claim_manager::queryHolder(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  Claim.Phase = phase::QueryingHolder;
  const claim_record &Held = Claim.Other->Record;
  if (Held.Holder == Context.self()) {
    claim_query Query{0, keyOf(Held), Held.Attempt};
    claim_query_reply Reply = replyTo(Query);
    onClaimQueryResult(Entry->first, holder_reply{Reply.Answer, Reply.Output});
    return;
  }
  if (std::optional<claim_query_result> Known =
          QueryClient.query(Entry->first, Held))
    onClaimQueryResult(Entry->first, *Known);
}

void claim_manager::onClaimQueryResult(claim_handle Handle,
                                       const claim_query_result &Result) {
  auto Entry = Claims.find(Handle);
  if (Entry == Claims.end() || Entry->second.Phase != phase::QueryingHolder)
    return;
  if (std::holds_alternative<holder_run_ended>(Result))
    decide(Entry, outcomeUnknown());
  else if (std::holds_alternative<holder_unresponsive>(Result))
    decide(Entry, deniedAsHeld());
  else
    onHolderReply(Entry, std::get<holder_reply>(Result));
}

void claim_manager::onHolderReply(claim_map::iterator Entry,
                                  const holder_reply &HolderReply) {
  switch (HolderReply.Answer) {
  case claim_answer::InProgress:
    decide(Entry, inProgressElsewhere());
    return;
  case claim_answer::Done:
    if (HolderReply.Output)
      decide(Entry, claim_already_done{*HolderReply.Output});
    else
      reread(Entry);
    return;
  case claim_answer::Abandoned:
    onAbandoned(Entry);
    return;
  case claim_answer::Unknown:
    decide(Entry, outcomeUnknown());
    return;
  case claim_answer::NotMine:
    reread(Entry);
    return;
  }
}

// Handles the holder's answer that it will never dispatch the call.
void claim_manager::onAbandoned(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  if (!mayReplace(Claim.Other->Record, Claim.Record.CallNumber))
    decide(Entry, superseded());
  else if (Store.unavailable())
    denyUndecided(Entry, error_code::PlatformUnavailable);
  else
    enterPhase(Entry->first, Claim, phase::Replacing);
}

// Reads the record again: its holder has recorded an outcome since the last
// read.
void claim_manager::reread(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  if (Store.unavailable() || Claim.Rereads >= MaxRereads) {
    decide(Entry, deniedAsHeld());
    return;
  }
  ++Claim.Rereads;
  enterPhase(Entry->first, Claim, phase::Reading);
}

void claim_manager::denyUndecided(claim_map::iterator Entry, error_code Code) {
  const claim &Claim = Entry->second;
  Context.log(event_number::ClaimUndecided, event_severity::Warning,
              "claim is undecided; the call is not dispatched",
              {{"claim", keyOf(Claim.Record).Value}});
  bool Held = Claim.Other && Claim.Other->Record.State == claim_state::Claimed;
  claim_denied Denied;
  Denied.Code = Code;
  Denied.Key = Held ? key_status::Uncertain : key_status::Unread;
  Denied.RetryAfter = Code == error_code::PlatformUnavailable
                          ? RetryAfterPlatformUnavailable
                          : RetryAfterUndecided;
  decide(Entry, Denied);
}

// Removes an undecided claim and reports the decision.
void claim_manager::decide(claim_map::iterator Entry,
                           const claim_decision &Decision) {
  claim_handle Handle = Entry->first;
  if (Entry->second.Other)
    Context.log(event_number::ClaimDuplicate, event_severity::Info,
                "idempotency key is already claimed",
                {{"claim", keyOf(Entry->second.Record).Value}});
  remove(Entry);
  Listener.onClaimDecided(Handle, Decision);
}

// Removes a claim that was never dispatched and releases its record if one may
// be stored.
void claim_manager::remove(claim_map::iterator Entry) {
  claim &Claim = Entry->second;
  QueryClient.cancel(Entry->first);
  std::optional<object_version> Version;
  if (Claim.Phase == phase::Granted)
    Version = Claim.Version;
  if (Version || Claim.WriteLost || Claim.WriteInFlight) {
    Claim.Record.State = claim_state::NotRun;
    RecordWriter.write(Claim.Record, Version);
  }
  eraseClaim(Entry);
}

void claim_manager::eraseClaim(claim_map::iterator Entry) {
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
  recordOutcome(Handle, claim_state::Done, std::move(Output));
}

void claim_manager::recordUnknown(claim_handle Handle) {
  recordOutcome(Handle, claim_state::Unknown, std::nullopt);
}

void claim_manager::recordOutcome(claim_handle Handle, claim_state State,
                                  std::optional<std::string> Output) {
  auto Found = Claims.find(Handle);
  if (Found == Claims.end() || Found->second.Phase != phase::Dispatched)
    return;
  claim_record &Record = Found->second.Record;
  Record.State = State;
  Record.Output = std::move(Output);
  RecordWriter.write(Record, Found->second.Version);
  eraseClaim(Found);
}

void claim_manager::onPeer(const peer_message &Message) {
  QueryClient.onPeer(Message);
  const claim_query *Query = std::get_if<claim_query>(&Message.Body);
  if (!Query)
    return;
  std::optional<endpoint> Address = Members.addressOf(Message.Sender.Host);
  if (Address)
    Context.send(Message.Sender.Host, *Address, replyTo(*Query));
}

claim_query_reply claim_manager::replyTo(const claim_query &Query) const {
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
  const claim_record *Settled =
      RecordWriter.pending(Query.Claim, Query.Attempt);
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
  if (!Store.unavailable())
    return;
  std::vector<claim_handle> Waiting;
  for (const std::pair<const claim_handle, claim> &Entry : Claims)
    if (waitsForStore(Entry.second))
      Waiting.push_back(Entry.first);
  for (claim_handle Handle : Waiting) {
    auto Entry = Claims.find(Handle);
    if (Entry != Claims.end())
      denyUndecided(Entry, error_code::PlatformUnavailable);
  }
}

void claim_manager::onWakeup() {
  RecordWriter.onWakeup();
  QueryClient.onWakeup();
  std::vector<claim_handle> TimedOut;
  for (std::pair<const claim_handle, claim> &Entry : Claims) {
    claim &Claim = Entry.second;
    if (isUndecided(Claim) && Claim.DecideBy <= Context.now())
      TimedOut.push_back(Entry.first);
    else if (Claim.RetryAt && *Claim.RetryAt <= Context.now())
      issueCall(Entry.first, Claim);
  }
  for (claim_handle Handle : TimedOut) {
    auto Entry = Claims.find(Handle);
    if (Entry != Claims.end())
      denyUndecided(Entry, error_code::ClaimUndecided);
  }
}

std::optional<core_time> claim_manager::nextWakeup() const {
  std::optional<core_time> Next = RecordWriter.nextWakeup();
  std::optional<core_time> Asked = QueryClient.nextWakeup();
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
