// Sends, resends and times out queries to the holders of claims.
#include "jasminecroft/core/detail/claim_query_client.h"

#include "jasminecroft/core/detail/claim_store.h"

#include <algorithm>
#include <vector>

namespace jasminecroft::detail {

namespace {

// Returns the member entry of a host, or null if the host is unknown.
const member_update *findMember(const members_status &Status,
                                const entry_host_id &Host) {
  for (const member_update &Member : Status.Members)
    if (Member.Host == Host)
      return &Member;
  return nullptr;
}

bool newerRunSeen(const membership &Members, const host_run &Run) {
  members_status Status = Members.status();
  const member_update *Member = findMember(Status, Run.Host);
  return Member && Member->Run > Run.Run;
}

// Returns whether membership shows that this run has ended. Used only after a
// query has timed out, because a host marked Dead or Left may still answer.
bool hasEnded(const membership &Members, const host_run &Run) {
  members_status Status = Members.status();
  const member_update *Member = findMember(Status, Run.Host);
  if (!Member || Member->Run < Run.Run)
    return false;
  return Member->Run > Run.Run || Member->State == member_state::Dead ||
         Member->State == member_state::Left;
}

} // namespace

std::optional<claim_query_result>
claim_query_client::query(claim_handle Claim, const claim_record &Record) {
  // The holder is an earlier run of this host, which has ended.
  if (Record.Holder.Host == Context.self().Host)
    return holder_run_ended{};
  if (!Members.addressOf(Record.Holder.Host))
    return holder_unresponsive{};
  if (newerRunSeen(Members, Record.Holder))
    return holder_run_ended{};
  pending_query &Pending = PendingQueries[Claim];
  Pending.Query = {++LastSequence, keyOf(Record), Record.Attempt};
  Pending.Holder = Record.Holder;
  core_duration Timeout = Members.alive(Record.Holder)
                              ? ClaimQueryTimeoutAlive
                              : ClaimQueryTimeoutNotAlive;
  Pending.ExpiresAt = Context.now() + Timeout;
  send(Pending);
  return std::nullopt;
}

void claim_query_client::send(pending_query &Pending) {
  Pending.ResendAt = Context.now() + ClaimQueryResendInterval;
  std::optional<endpoint> Address = Members.addressOf(Pending.Holder.Host);
  if (Address)
    Context.send(Pending.Holder.Host, *Address, Pending.Query);
}

void claim_query_client::onPeer(const peer_message &Message) {
  const claim_query_reply *Reply =
      std::get_if<claim_query_reply>(&Message.Body);
  if (!Reply)
    return;
  for (const std::pair<const claim_handle, pending_query> &Entry :
       PendingQueries) {
    const pending_query &Pending = Entry.second;
    if (Pending.Query.Sequence != Reply->Sequence ||
        Pending.Query.Claim != Reply->Claim ||
        Pending.Query.Attempt != Reply->Attempt ||
        Pending.Holder.Host != Message.Sender.Host)
      continue;
    if (Message.Sender.Run < Pending.Holder.Run)
      return;
    if (Message.Sender.Run > Pending.Holder.Run)
      resolve(Entry.first, holder_run_ended{});
    else
      resolve(Entry.first, holder_reply{Reply->Answer, Reply->Output});
    return;
  }
}

void claim_query_client::resolve(claim_handle Claim,
                                 const claim_query_result &Result) {
  PendingQueries.erase(Claim);
  Listener.onClaimQueryResult(Claim, Result);
}

void claim_query_client::onWakeup() {
  std::vector<std::pair<claim_handle, host_run>> TimedOut;
  for (std::pair<const claim_handle, pending_query> &Entry : PendingQueries) {
    pending_query &Pending = Entry.second;
    if (Pending.ExpiresAt <= Context.now())
      TimedOut.emplace_back(Entry.first, Pending.Holder);
    else if (Pending.ResendAt <= Context.now())
      send(Pending);
  }
  for (const std::pair<claim_handle, host_run> &Entry : TimedOut) {
    if (hasEnded(Members, Entry.second))
      resolve(Entry.first, holder_run_ended{});
    else
      resolve(Entry.first, holder_unresponsive{});
  }
}

std::optional<core_time> claim_query_client::nextWakeup() const {
  std::optional<core_time> Next;
  for (const std::pair<const claim_handle, pending_query> &Entry :
       PendingQueries) {
    core_time Due = std::min(Entry.second.ResendAt, Entry.second.ExpiresAt);
    if (!Next || Due < *Next)
      Next = Due;
  }
  return Next;
}

} // namespace jasminecroft::detail
