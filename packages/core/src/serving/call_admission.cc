// The sources that depend on the directory of servers alone, and the answers
// that follow from all sources.
#include "jasminecroft/core/serving/call_admission.h"

#include <algorithm>

namespace jasminecroft {

std::string_view toText(admission_obstacle Obstacle) {
  switch (Obstacle) {
  case admission_obstacle::NotUsable:
    return "not_usable";
  case admission_obstacle::Quarantined:
    return "quarantined";
  case admission_obstacle::Paused:
    return "paused";
  case admission_obstacle::Limited:
    return "limited";
  case admission_obstacle::Backoff:
    return "backoff";
  case admission_obstacle::ZoneEmptied:
    return "zone_emptied";
  case admission_obstacle::Cold:
    return "cold";
  case admission_obstacle::RequestBytes:
    return "request_bytes";
  }
  return "not_usable";
}

/// Servers that want nothing from this host for a while.
class call_admission::pause_source final : public admission_source {
public:
  explicit pause_source(const backend_directory &Servers) : Servers(Servers) {}
  bool active(core_time Now) const override {
    return Now < Servers.lastPauseEnd();
  }
  admission_answer check(const backend_state &Server, const call_subject &,
                         core_time Now) override {
    if (Now < Server.PausedUntil)
      return {admission_obstacle::Paused, Server.PausedUntil};
    return {};
  }

private:
  const backend_directory &Servers;
};

/// Servers that name a limit of requests a second for all hosts together.
class call_admission::limit_source final : public admission_source {
public:
  limit_source(backend_directory &Servers,
               std::function<bool(const backend_id &)> CountsHere)
      : Servers(Servers), CountsHere(std::move(CountsHere)) {}
  bool active(core_time) const override {
    return Servers.limits().count() != 0;
  }
  admission_answer check(const backend_state &Server,
                         const call_subject &Subject, core_time Now) override {
    const backend_id &Id = Server.Entry.Id;
    if (!Servers.isLimited(Server.Entry) || Subject.CountedFor == Id)
      return {};
    // A host that counts may admit it at any time.
    bool IsRequest = Subject.Purpose == admission_purpose::Request;
    if (IsRequest && !CountsHere(Id))
      return {admission_obstacle::Limited, Now};
    core_duration Wait = IsRequest
                             ? Servers.limits().timeToNext(Id, Now)
                             : Servers.limits().timeToNextForQueue(Id, Now);
    if (Wait > core_duration{0})
      return {admission_obstacle::Limited, Now + Wait};
    return {};
  }
  void onAdmitted(const backend_state &Server, const call_subject &Subject,
                  core_time Now) override {
    const backend_id &Id = Server.Entry.Id;
    if (!Servers.isLimited(Server.Entry) || Subject.CountedFor == Id)
      return;
    if (Subject.Purpose == admission_purpose::Request)
      Servers.limits().tryAcquire(Id, Now);
    else
      Servers.limits().acquireForQueue(Id, Now);
  }

private:
  backend_directory &Servers;
  std::function<bool(const backend_id &)> CountsHere;
};

/// Servers whose last calls failed. Requests go there if no other is left,
/// which is a matter of rank.
class call_admission::backoff_source final : public admission_source {
public:
  bool active(core_time) const override { return true; }
  admission_answer check(const backend_state &Server,
                         const call_subject &Subject, core_time Now) override {
    bool Waits = Subject.Purpose == admission_purpose::Pieces ||
                 Subject.Purpose == admission_purpose::LoadQuery;
    if (Waits && Now < Server.AvoidUntil)
      return {admission_obstacle::Backoff, Server.AvoidUntil};
    return {};
  }
};

call_admission::call_admission(
    backend_directory &Servers,
    std::function<bool(const backend_id &)> CountsHere)
    : Servers(Servers) {
  BuiltIn.push_back(std::make_unique<pause_source>(Servers));
  BuiltIn.push_back(
      std::make_unique<limit_source>(Servers, std::move(CountsHere)));
  BuiltIn.push_back(std::make_unique<backoff_source>());
  for (const std::unique_ptr<admission_source> &Source : BuiltIn)
    addSource(*Source);
}

call_admission::~call_admission() = default;

void call_admission::addSource(admission_source &Source) {
  Sources.push_back(&Source);
}

bool call_admission::isUsable(const backend_state &Server,
                              const call_subject &Subject, core_time Now) {
  // Results are freed at leaving servers too.
  if (Subject.Purpose == admission_purpose::FreeResults)
    return !Server.UnlistedSince;
  std::vector<backend_state *> Usable = Servers.usable(Server.Entry.Pool, Now);
  return std::find(Usable.begin(), Usable.end(), &Server) != Usable.end();
}

admission_answer call_admission::ask(const backend_state &Server,
                                     const call_subject &Subject,
                                     core_time Now) {
  if (Subject.Quarantined)
    return {admission_obstacle::Quarantined, std::nullopt};
  admission_answer Answer;
  for (admission_source *Source : Sources) {
    if (!Source->active(Now))
      continue;
    admission_answer Found = Source->check(Server, Subject, Now);
    if (Found.admitted())
      continue;
    if (Answer.admitted() || (Answer.Until && !Found.Until))
      Answer = Found;
    else if (Answer.Until)
      Answer.Until = std::max(*Answer.Until, *Found.Until);
  }
  return Answer;
}

admission_answer call_admission::check(const backend_state &Server,
                                       const call_subject &Subject,
                                       core_time Now) {
  if (!isUsable(Server, Subject, Now))
    return {admission_obstacle::NotUsable, std::nullopt};
  return ask(Server, Subject, Now);
}

std::optional<call_permit> call_admission::admit(const backend_id &Server,
                                                 const call_subject &Subject,
                                                 core_time Now) {
  const backend_state *State = Servers.find(Server);
  if (!State || !check(*State, Subject, Now).admitted())
    return std::nullopt;
  for (admission_source *Source : Sources)
    if (Source->active(Now))
      Source->onAdmitted(*State, Subject, Now);
  return call_permit(State->Entry);
}

std::vector<std::pair<backend_state *, admission_answer>>
call_admission::survey(const pool_id &Pool, const call_subject &Subject,
                       core_time Now) {
  std::vector<std::pair<backend_state *, admission_answer>> Result;
  for (backend_state *Server : Servers.usable(Pool, Now))
    Result.emplace_back(Server, ask(*Server, Subject, Now));
  return Result;
}

std::vector<backend_state *>
call_admission::candidates(const pool_id &Pool, const call_subject &Subject,
                           core_time Now) {
  std::vector<backend_state *> Usable = Servers.usable(Pool, Now);
  std::erase_if(Usable, [&](const backend_state *Server) {
    return !ask(*Server, Subject, Now).admitted();
  });
  return Usable;
}

admission_answer call_admission::firstOpening(const pool_id &Pool,
                                              const call_subject &Subject,
                                              core_time Now) {
  admission_answer First{admission_obstacle::NotUsable, std::nullopt};
  for (const std::pair<backend_state *, admission_answer> &Entry :
       survey(Pool, Subject, Now)) {
    const admission_answer &Answer = Entry.second;
    if (Answer.admitted())
      return Answer;
    bool Earlier =
        Answer.Until && (!First.Until || *Answer.Until < *First.Until);
    if (First.Obstacle == admission_obstacle::NotUsable || Earlier)
      First = Answer;
  }
  return First;
}

} // namespace jasminecroft
