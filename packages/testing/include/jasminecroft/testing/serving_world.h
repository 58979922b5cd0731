// Several serving cores in virtual time, with backend servers that run their
// requests and make their pieces, callers, a network and faults.
#pragma once

#include "jasminecroft/testing/fake_network.h"
#include "jasminecroft/testing/serving_book.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace jasminecroft::testing {

/// How the stages of the drafts depend on each other.
enum class draft_shape {
  /// A chain of two, and one beside it.
  Chain,
  /// Two stages share the results of the first one; a stage that the route
  /// lists before one of them joins that one and the other.
  Shared,
};

struct world_options {
  std::size_t Zones = 2;
  std::size_t HostsPerZone = 2;
  std::size_t StageServersPerZone = 2;
  std::size_t EnginesPerZone = 2;
  std::size_t PlainServersPerZone = 2;
  /// Each host batches only its own callers' pieces: the baseline.
  bool BatchAlone = false;
  /// Pieces that fail at their server for no reason.
  std::uint32_t PieceErrorPermille = 3;
  batch_rules Batches = defaultBatches();
  /// Sizes of results: of the stages that begin a chain, and of the others.
  std::uint64_t FirstBytes = 8'000;
  std::uint64_t NextBytes = 60'000;
  draft_shape Drafts = draft_shape::Chain;
  /// Servers that crash start again under their ids, some before they are off
  /// the list, and state any start time.
  bool ServersKeepIds = false;
  core_duration Goal = std::chrono::milliseconds(2'000);
  /// Servers that start later are cold; absent: they are not.
  std::optional<warm_up_rules> WarmUp;

  static batch_rules defaultBatches();
};

class world_host;
class world_server;

/// Names of the routes of every world.
namespace world_route {
inline constexpr const char *Read = "read";
inline constexpr const char *Once = "once";
/// Stages of the world's draft_shape, resumable.
inline constexpr const char *Draft = "draft";
/// One stage; not to be run again.
inline constexpr const char *Label = "label";
} // namespace world_route

/// Workspaces whose callers may ask for labels.
inline constexpr std::size_t WorldWorkspaces = 8;

class serving_world {
public:
  serving_world(const world_options &Options, std::uint64_t Seed);
  ~serving_world();
  serving_world(const serving_world &) = delete;
  serving_world &operator=(const serving_world &) = delete;

  // Callers.
  /// Nothing happens if the host is down.
  void ask(std::size_t Host, const std::string &Route);
  /// Shared: the parts of the prompt before the request's own.
  void ask(std::size_t Host, const std::string &Route,
           const std::vector<std::uint64_t> &Shared);
  /// Workspace of the callers of labels from now on.
  void setWorkspace(std::size_t Workspace) { Caller = Workspace; }
  /// Tokens of the prompts of streams from now on; 0: they are short.
  void setPromptTokens(std::uint32_t Tokens) { PromptTokens = Tokens; }
  /// The caller of one of the requests in progress leaves.
  void leaveOne();

  // Faults and planned work. Indexes wrap around.
  void killHost(std::size_t Host);
  void startHost(std::size_t Host);
  /// Leaves and ends when its requests are done.
  void stopHost(std::size_t Host);
  void cutZone(std::size_t Zone);
  /// Hosts of different pieces do not hear each other; servers hear all.
  void splitHosts(std::size_t Pieces) { HostPieces = Pieces; }
  void healNetwork();
  /// The operator writes a configuration with a newer version.
  void changeConfig();
  /// The host's watch of the configuration is dead until it reads again.
  void deafen(std::size_t Host);
  /// The store tells the host nothing of configurations until the calm.
  void turnAway(std::size_t Host);
  /// Notes hosts that do not use the newest configuration.
  void judgeConfigs(const std::string &When);
  void setQuality(const network_quality &Quality) { Net.setQuality(Quality); }
  /// Its connections break; its results are gone.
  void crashServer(std::size_t Server);
  /// Engines crash once they begin a reply to a prompt with this part.
  void addCrashingPart(std::uint64_t Part) { CrashingParts.insert(Part); }
  void removeCrashingPart(std::uint64_t Part) { CrashingParts.erase(Part); }
  /// It answers nothing for a while.
  /// Its replies name a limit of requests a second; absent: none any more.
  void limitServer(std::size_t Server, std::optional<double> PerSecond);
  /// Servers of a pool, by number.
  std::vector<std::size_t> serversOf(const char *Pool) const;
  const backend_id &serverId(std::size_t Server) const;
  void silenceServer(std::size_t Server, core_duration Time);
  void slowServer(std::size_t Server, double Factor);
  /// It is cold again, as its replies say; nothing in a world without rules for
  /// that.
  void coolServer(std::size_t Server);
  /// It turns calls away for a while and asks for a pause until the end of it.
  void pauseServer(std::size_t Server, core_duration Time);
  /// It reports that it leaves; another one takes its place.
  void replaceServer(std::size_t Server);
  /// The same, but only its replies say so until it is off the list.
  void replaceSilently(std::size_t Server);
  /// The operator empties a zone, or takes it back.
  void emptyZone(std::size_t Zone) { orderZone(zoneName(Zone), true); }
  void takeBackZone(std::size_t Zone) { orderZone(zoneName(Zone), false); }
  /// Ends all faults and starts what is down.
  void calm();

  void run(core_duration Time);
  core_time now() const { return Queue.now(); }
  bool isCalm() const { return Calm; }

  std::size_t hostCount() const { return Hosts.size(); }
  std::size_t serverCount() const { return Servers.size(); }
  random_source &random() { return Random; }
  serving_book &book() { return Book; }

  // For servers and hosts.
  void after(core_duration Time, std::function<void()> Action) {
    Queue.after(Time, std::move(Action));
  }
  world_server *findServer(const backend_id &Id);
  /// A result that a server of Zone can fetch; null if there is none.
  const serving_book::input *resultFor(const result_handle &Handle,
                                       const zone_id &Zone);
  std::uint64_t resultBytes(const caller_request_id &Request,
                            std::uint32_t Stage) const;
  bool crashesEngines(const caller_request_id &Request) const;
  void crashServer(const backend_id &Id);
  std::string nextResult() { return std::to_string(++LastResult); }
  bool reaches(const zone_id &Zone, std::size_t Host) const;
  void answerHost(std::size_t Host, incarnation Run, call_id Call, bool Last,
                  const std::function<void(serving_core &, core_time)> &Event);

  /// Bytes of results that lie at stage servers.
  std::uint64_t bytesKept() const;
  std::uint64_t batches() const;
  std::uint64_t batchedPieces() const;

private:
  friend class world_host;
  friend class world_server;

  std::size_t Caller = 0;
  std::uint32_t PromptTokens = 0;

  struct server_slot {
    std::unique_ptr<world_server> Server;
    pool_id Pool;
    zone_id Zone;
  };

  zone_id zoneName(std::size_t Zone) const;
  serving_route route(const char *Name) const;
  std::shared_ptr<const route_config> config(config_version Version) const;
  void addServer(const char *Pool, std::size_t Zone);
  std::unique_ptr<world_server> makeServer(const pool_id &Pool,
                                           const zone_id &Zone);
  /// One that starts while others serve.
  std::unique_ptr<world_server>
  startServer(const server_slot &Slot, const backend_entry *Before = nullptr);
  void tellHosts(const backend_entry &Entry, bool Gone);
  void orderZone(const zone_id &Zone, bool Empties);
  world_server *server(const backend_id &Id) { return findServer(Id); }
  bool linked(const zone_id &A, const zone_id &B) const {
    return Net.linked(A, B);
  }

  world_options Options;
  event_queue Queue;
  random_source Random;
  /// The faults have ended.
  bool Calm = false;
  std::size_t HostPieces = 1;
  fake_network Net{Queue, Random};
  serving_book Book;
  std::vector<std::unique_ptr<world_host>> Hosts;
  std::vector<server_slot> Servers;
  /// Servers that were replaced and go on for a while.
  std::vector<std::unique_ptr<world_server>> Leaving;
  config_version NewestConfig{1};
  /// As the store has them.
  std::map<zone_id, zone_order> EmptiedZones;
  std::set<std::uint64_t> CrashingParts;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastServer = 0;
  std::uint64_t LastRevision = 0;
  std::uint64_t LastResult = 0;
};

} // namespace jasminecroft::testing
