// Client threads with kept connections, and counts of what they were told.
#include "jasminecroft/processes/load_clients.h"

#include <memory>
#include <optional>

namespace jasminecroft::processes {

namespace {

constexpr std::chrono::milliseconds ReadinessInterval{50};
/// After a call without its answer, or while no host is ready.
constexpr std::chrono::milliseconds Pause{20};
constexpr std::chrono::seconds ReplyBound{60};
constexpr std::size_t CallsPerConnection = 20;

std::string member(const std::string &Body, const std::string &Name) {
  std::string Begin = "\"" + Name + "\":\"";
  std::size_t Found = Body.find(Begin);
  if (Found == std::string::npos)
    return "";
  Found += Begin.size();
  return Body.substr(Found, Body.find('"', Found) - Found);
}

// The text of a whole answer, or of all pieces of a stream, still escaped.
std::string answerText(const std::string &Body) {
  constexpr std::string_view Begin = "\"text\":\"";
  constexpr std::string_view End = "\"}\n";
  std::string Text;
  std::size_t At = Body.find(Begin);
  if (At == std::string::npos)
    return Body;
  while (At != std::string::npos) {
    At += Begin.size();
    std::size_t Last = Body.find(End, At);
    Text += Body.substr(At, Last - At);
    At = Body.find(Begin, Last);
  }
  return Text;
}

// One client's connection, kept while host and server allow it.
class kept_connection {
public:
  http_reply call(std::uint16_t Port, const std::string &Text) {
    bool Fits = Connection && HeldPort == Port && Calls < CallsPerConnection;
    if (!Fits) {
      Connection = std::make_unique<http_connection>(Port);
      HeldPort = Port;
      Calls = 0;
    }
    ++Calls;
    http_reply Reply;
    if (Connection->connected() && Connection->send(Text))
      Reply = Connection->readReply(ReplyBound);
    bool Closing = Reply.Head.find("Connection: close") != std::string::npos;
    if (!Reply.whole() || Closing)
      Connection.reset();
    return Reply;
  }

private:
  std::unique_ptr<http_connection> Connection;
  std::uint16_t HeldPort = 0;
  std::size_t Calls = 0;
};

} // namespace

load_clients::load_clients(const local_fleet &Fleet,
                           const load_options &Options)
    : Fleet(Fleet), Options(Options), Ready(Fleet.entryHosts()) {
  for (std::size_t I = 0; I < Ready.size(); ++I)
    Ready[I] = Fleet.ready(I);
  Threads.emplace_back([this] { watchReadiness(); });
  for (std::size_t I = 0; I < Options.Clients; ++I)
    Threads.emplace_back([this, I] { runClient(I); });
}

load_clients::~load_clients() { stop(); }

std::vector<call_result> load_clients::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  return std::move(Results);
}

void load_clients::watchReadiness() {
  while (!Stopping) {
    for (std::size_t I = 0; I < Ready.size(); ++I)
      Ready[I] = Fleet.ready(I);
    std::this_thread::sleep_for(ReadinessInterval);
  }
}

std::size_t load_clients::chooseHost(std::size_t Turn) const {
  for (std::size_t I = 0; I < Ready.size(); ++I) {
    std::size_t Host = (Turn + I) % Ready.size();
    if (Ready[Host])
      return Host;
  }
  return Ready.size();
}

void load_clients::runClient(std::size_t Client) {
  kept_connection Connection;
  for (std::size_t Number = 0; !Stopping; ++Number) {
    std::size_t Host = chooseHost(Client + Number / CallsPerConnection);
    if (Host == Ready.size()) {
      std::this_thread::sleep_for(Pause);
      continue;
    }
    std::string Name = Options.Name + "-" + std::to_string(Client) + "-" +
                       std::to_string(Number);
    call_result Result;
    Result.Body = "{\"call\":\"" + Name + "\"}";
    http_call Call{Fleet.callerPort(Host), "POST",
                   "/v1/workspaces/w/pipelines/" + Options.Pipeline, "",
                   Result.Body};
    if (Options.WithKeys) {
      Result.Key = Name;
      Call.Headers =
          "Idempotency-Key: " + Name + "\r\nJasminecroft-Attempt: 1\r\n";
    }
    if (Options.Streamed)
      Call.Headers += "Accept: text/event-stream\r\n";
    Result.Reply = Connection.call(Call.Port, requestText(Call));
    ++Finished;
    if (Result.Reply.Status != 200)
      std::this_thread::sleep_for(Pause);
    std::lock_guard<std::mutex> Lock(ResultsMutex);
    Results.push_back(std::move(Result));
  }
}

std::string outcomeOf(const http_reply &Reply) {
  if (!Reply.whole())
    return "cut";
  std::string Outcome = member(Reply.Body, "outcome");
  std::string Code = member(Reply.Body, "code");
  return Code.empty() ? Outcome : Outcome + " " + Code;
}

std::map<std::string, std::size_t>
countOutcomes(const std::vector<call_result> &Results) {
  std::map<std::string, std::size_t> Counts;
  for (const call_result &Result : Results)
    ++Counts[outcomeOf(Result.Reply)];
  return Counts;
}

std::size_t foreignAnswers(const std::vector<call_result> &Results) {
  std::size_t Count = 0;
  for (const call_result &Result : Results) {
    if (outcomeOf(Result.Reply) != "complete")
      continue;
    // The stand-ins repeat their input, which stands escaped in the answer.
    std::string Name = Result.Body.substr(9, Result.Body.size() - 11);
    std::string Expected = "\\\"" + Name + "\\\"";
    std::string Text = answerText(Result.Reply.Body);
    Count += Text.find(Expected) == std::string::npos ? 1 : 0;
  }
  return Count;
}

std::string describe(const std::map<std::string, std::size_t> &Counts) {
  std::string Text;
  for (const std::pair<const std::string, std::size_t> &Entry : Counts)
    Text += (Text.empty() ? "" : ", ") + Entry.first + ": " +
            std::to_string(Entry.second);
  return Text;
}

} // namespace jasminecroft::processes
