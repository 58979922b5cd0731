// Questions to the holders of claims, with their resends and time limits.
#include "jasminecroft/core/detail/claim_query_client.h"

#include "jasminecroft/core/detail/claim_store.h"

#include <algorithm>
#include <vector>

namespace jasminecroft::detail {

namespace {

// What is known of the holder's host; null if nothing is.
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

// Whether there is evidence that this run has ended. A host that is believed
// dead, or leaves by plan, may still answer and is asked first.
bool hasEnded(const membership &Members, const host_run &Run) {
  members_status Status = Members.status();
  const member_update *Member = findMember(Status, Run.Host);
  if (!Member || Member->Run < Run.Run)
    return false;
  return Member->Run > Run.Run || Member->State == member_state::Dead ||
         Member->State == member_state::Left;
}

} // namespace

std::optional<inquiry_result> claim_inquiry::ask(claim_handle Claim,
                                                 const claim_record &Record) {
  // An earlier run of this very host has ended.
  if (Record.Holder.Host == Context.self().Host)
    return holder_gone{};
  if (!Members.addressOf(Record.Holder.Host))
    return holder_silent{};
  if (newerRunSeen(Members, Record.Holder))
    return holder_gone{};
  question &Question = Questions[Claim];
  Question.Query = {++LastSequence, keyOf(Record), Record.Attempt};
  Question.Holder = Record.Holder;
  core_duration Patience = Members.alive(Record.Holder)
                               ? InquiryPatienceAlive
                               : InquiryPatienceDoubtful;
  Question.GiveUpAt = Context.now() + Patience;
  send(Question);
  return std::nullopt;
}

void claim_inquiry::send(question &Question) {
  Question.ResendAt = Context.now() + InquiryResendInterval;
  std::optional<endpoint> Address = Members.addressOf(Question.Holder.Host);
  if (Address)
    Context.send(Question.Holder.Host, *Address, Question.Query);
}

void claim_inquiry::onPeer(const peer_message &Message) {
  const claim_query_reply *Reply =
      std::get_if<claim_query_reply>(&Message.Body);
  if (!Reply)
    return;
  for (const std::pair<const claim_handle, question> &Entry : Questions) {
    const question &Question = Entry.second;
    if (Question.Query.Sequence != Reply->Sequence ||
        Question.Query.Claim != Reply->Claim ||
        Question.Query.Attempt != Reply->Attempt ||
        Question.Holder.Host != Message.Sender.Host)
      continue;
    if (Message.Sender.Run < Question.Holder.Run)
      return;
    if (Message.Sender.Run > Question.Holder.Run)
      resolve(Entry.first, holder_gone{});
    else
      resolve(Entry.first, holder_says{Reply->Answer, Reply->Output});
    return;
  }
}

void claim_inquiry::resolve(claim_handle Claim, const inquiry_result &Result) {
  Questions.erase(Claim);
  Listener.onInquiryResult(Claim, Result);
}

void claim_inquiry::onWakeup() {
  std::vector<std::pair<claim_handle, host_run>> Silent;
  for (std::pair<const claim_handle, question> &Entry : Questions) {
    question &Question = Entry.second;
    if (Question.GiveUpAt <= Context.now())
      Silent.emplace_back(Entry.first, Question.Holder);
    else if (Question.ResendAt <= Context.now())
      send(Question);
  }
  for (const std::pair<claim_handle, host_run> &Entry : Silent) {
    if (hasEnded(Members, Entry.second))
      resolve(Entry.first, holder_gone{});
    else
      resolve(Entry.first, holder_silent{});
  }
}

std::optional<core_time> claim_inquiry::nextWakeup() const {
  std::optional<core_time> Next;
  for (const std::pair<const claim_handle, question> &Entry : Questions) {
    core_time Due = std::min(Entry.second.ResendAt, Entry.second.GiveUpAt);
    if (!Next || Due < *Next)
      Next = Due;
  }
  return Next;
}

} // namespace jasminecroft::detail
