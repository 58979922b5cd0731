// Program: open-loop load through a stand-in of the platform's balancer. It
// sends each request to a ready entry host, tries another one only if no byte
// was sent, and counts what callers were told.
#include "load_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

namespace options = boost::program_options;
namespace json = boost::json;
using namespace jasminecroft::standins;

namespace {

using steady = std::chrono::steady_clock;

struct load_settings {
  std::vector<std::string> Targets;
  std::string Workspace;
  std::string Pipeline;
  double Rate = 100;
  double Seconds = 5;
  int DeadlineMs = 5000;
  std::size_t BodyBytes = 200;
  std::string KeyPrefix;
  bool Streamed = false;
  std::uint64_t Seed = 1;
  std::string JsonFile;
};

/// Sends requests at random times, on average Rate a second.
class load_run {
public:
  load_run(boost::asio::io_context &Io, const load_settings &Settings)
      : Settings(Settings), Balancer(Io, Settings.Targets), Timer(Io),
        Generator(Settings.Seed) {}

  void start() {
    Balancer.start([this] {
      Next = steady::now();
      End = Next + std::chrono::duration_cast<steady::duration>(
                       std::chrono::duration<double>(Settings.Seconds));
      scheduleNext();
    });
  }

  json::object result() const;

private:
  void scheduleNext() {
    std::exponential_distribution<double> Gap(Settings.Rate);
    Next += std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(Gap(Generator)));
    if (Next >= End) {
      stopWhenDone();
      return;
    }
    Timer.expires_at(Next);
    Timer.async_wait([this](boost::system::error_code) {
      send();
      scheduleNext();
    });
  }

  void send() {
    ++Sent;
    load_call Call;
    Call.Target = "/v1/workspaces/" + Settings.Workspace + "/pipelines/" +
                  Settings.Pipeline;
    Call.DeadlineMs = Settings.DeadlineMs;
    Call.Streamed = Settings.Streamed;
    if (!Settings.KeyPrefix.empty())
      Call.Key = Settings.KeyPrefix + "-" + std::to_string(Sent);
    std::string Filler(Settings.BodyBytes, 'x');
    Call.Body =
        R"({"id":)" + std::to_string(Sent) + R"(,"text":")" + Filler + "\"}";
    Balancer.send(std::move(Call),
                  [this](const load_answer &Answer) { onAnswer(Answer); });
  }

  void onAnswer(const load_answer &Answer) {
    ++Outcomes[Answer.Outcome];
    Moved += Answer.Moved;
    Latencies.push_back(Answer.Latency.count() / 1000.0);
    bool OnTime =
        Answer.Latency <= std::chrono::milliseconds(Settings.DeadlineMs);
    if (Answer.Outcome == "complete" && OnTime)
      ++Attained;
    ++Answered;
    if (Stopping)
      stopWhenDone();
  }

  void stopWhenDone() {
    Stopping = true;
    if (Answered == Sent)
      Balancer.stop();
  }

  const load_settings &Settings;
  balancer Balancer;
  boost::asio::steady_timer Timer;
  std::mt19937_64 Generator;
  steady::time_point Next;
  steady::time_point End;
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Attained = 0;
  std::uint64_t Moved = 0;
  bool Stopping = false;
  std::map<std::string, std::uint64_t> Outcomes;
  /// Milliseconds.
  std::vector<double> Latencies;
};

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  std::size_t Last = Sorted.size() - 1;
  double Place = Share * static_cast<double>(Last);
  return Sorted[static_cast<std::size_t>(std::llround(Place))];
}

json::object load_run::result() const {
  std::vector<double> Sorted = Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  json::object Counts;
  for (const std::pair<const std::string, std::uint64_t> &Entry : Outcomes)
    Counts[Entry.first] = Entry.second;
  double Share =
      Sent ? static_cast<double>(Attained) / static_cast<double>(Sent) : 0;
  return {{"sent", Sent},
          {"answered", Answered},
          {"attainment", Share},
          {"moved_before_sending", Moved},
          {"outcomes", std::move(Counts)},
          {"p50_ms", quantile(Sorted, 0.50)},
          {"p95_ms", quantile(Sorted, 0.95)},
          {"p99_ms", quantile(Sorted, 0.99)},
          {"max_ms", quantile(Sorted, 1.0)}};
}

void parse(int Count, char **Arguments, load_settings &Settings) {
  options::options_description Known("load through a balancer stand-in");
  options::options_description_easy_init Add = Known.add_options();
  Add("target", options::value(&Settings.Targets)->required(),
      "IP:port of an entry host; may be given several times");
  Add("workspace", options::value(&Settings.Workspace)->required(), "");
  Add("pipeline", options::value(&Settings.Pipeline)->required(), "");
  Add("rate", options::value(&Settings.Rate), "requests a second");
  Add("seconds", options::value(&Settings.Seconds), "length of the run");
  Add("deadline-ms", options::value(&Settings.DeadlineMs), "");
  Add("body-bytes", options::value(&Settings.BodyBytes), "");
  Add("key-prefix", options::value(&Settings.KeyPrefix),
      "send idempotency keys PREFIX-N");
  Add("stream", options::bool_switch(&Settings.Streamed), "ask for streams");
  Add("seed", options::value(&Settings.Seed), "seed of arrival times");
  Add("json", options::value(&Settings.JsonFile), "also write result there");
  options::variables_map Values;
  options::store(options::parse_command_line(Count, Arguments, Known), Values);
  options::notify(Values);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    load_settings Settings;
    parse(Count, Arguments, Settings);
    boost::asio::io_context Io;
    load_run Run(Io, Settings);
    Run.start();
    Io.run();
    std::string Text = json::serialize(Run.result());
    std::cout << Text << '\n';
    if (!Settings.JsonFile.empty())
      std::ofstream(Settings.JsonFile) << Text << '\n';
  } catch (const std::exception &Error) {
    std::cerr << "load tool: " << Error.what() << '\n';
    return 1;
  }
  return 0;
}
