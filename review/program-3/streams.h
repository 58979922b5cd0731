// A service of model replicas that stream events, and the configuration of a
// deployment with it.
#pragma once

#include "kit.h"

namespace kit {

/// What replicas saw of each request.
class runs {
public:
  struct run {
    std::string Replica;
    long At = 0;
    int Events = 0;
    bool Whole = false;
    long EndedAt = 0;
  };
  static void begin(const std::string &Id, const std::string &Replica) {
    std::lock_guard<std::mutex> Lock(Mutex);
    run Begun;
    Begun.Replica = Replica;
    Begun.At = nowMs();
    All[Id].push_back(Begun);
  }
  static void end(const std::string &Id, int Events, bool Whole) {
    std::lock_guard<std::mutex> Lock(Mutex);
    run &Last = All[Id].back();
    Last.Events = Events;
    Last.Whole = Whole;
    Last.EndedAt = nowMs();
  }
  static std::vector<run> of(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return All[Id];
  }

private:
  static inline std::mutex Mutex;
  static inline std::map<std::string, std::vector<run>> All;
};

constexpr int TokensPerEvent = 7;

/// Streams as many events as the request's tokens make, one each GapMs, and
/// stops when its connection closes.
inline replica::handler engineHandler(const std::string &Id, long FirstMs,
                                      long GapMs) {
  return [=](connection &C, const message &Request) {
    std::string Name = Request.get("X-Request-Id");
    std::string Tokens = Request.get("X-Token-Count");
    int Events =
        std::atoi(Tokens.substr(Tokens.find(',') + 1).c_str()) / TokensPerEvent;
    std::string After = Request.get("Last-Event-Id");
    int First = After.empty() ? 1 : std::atoi(After.c_str()) + 1;
    runs::begin(Name, Id);
    record::line("run   %s at %s, events %d to %d", Name.c_str(), Id.c_str(),
                 First, Events);
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: "
                       "text/event-stream\r\nX-Request-Id: " +
                       Name + "\r\nX-Replica-Stamp: " + Id + "." + Name +
                       "\r\nX-Weight-Versions: 1\r\n" +
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (int Event = First; Event <= Events; ++Event) {
      if (C.closedByPeer(Event == First ? FirstMs : GapMs)) {
        runs::end(Name, Event - 1, false);
        record::line("drop  %s at %s before event %d of %d", Name.c_str(),
                     Id.c_str(), Event, Events);
        return false;
      }
      std::string Text =
          "id: " + std::to_string(Event) + "\ndata: " + Name + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
      if (!C.send((Event == First ? Head : "") + Size + Text + "\r\n")) {
        runs::end(Name, Event - 1, false);
        return false;
      }
    }
    runs::end(Name, Events, true);
    record::line("made  %s at %s", Name.c_str(), Id.c_str());
    return C.send((First > Events ? Head : "") + "0\r\n\r\n");
  };
}

inline std::string serviceText(const std::string &Name, bool Engine) {
  return "{\"name\":\"" + Name +
         "\",\"health_path\":\"/healthz\",\"max_conns\":270,\"protocol\":"
         "\"h1\",\"tls\":false" +
         (Engine ? ",\"engine\":{\"slots\":64,\"kv_cap_tokens\":497450}" : "") +
         "}";
}

inline std::string limitsText() {
  return "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
}

} // namespace kit
