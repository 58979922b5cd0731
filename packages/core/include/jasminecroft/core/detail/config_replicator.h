// Holds the newest configuration and host list known to this host and
// replicates them to peers. A restart loses both; they are read again from the
// platform or from peers.
#pragma once

#include "jasminecroft/core/detail/audit_archiver.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"

#include <map>
#include <optional>
#include <set>

namespace jasminecroft::detail {

/// Receives the configurations and host lists that config_replicator accepts.
class config_listener {
public:
  virtual ~config_listener() = default;
  virtual void onConfig(const fleet_config &Config) = 0;
  virtual void onHostList(const host_list &Hosts) = 0;
};

class config_replicator final : public platform_result_handler,
                                public gossip_participant {
public:
  config_replicator(core_context &Context, platform_gateway &Gateway,
                    membership &Members, config_listener &Listener)
      : Context(Context), Gateway(Gateway), Members(Members),
        Listener(Listener), Archiver(Context, Gateway, Members) {
    ConfigReader.Key = configKey();
    HostsReader.Key = hostListKey();
    HostsReader.Purpose = call_purpose::HostList;
  }

  void start();
  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;
  /// Handles config_pull, config_push, config_changes, host_list_pull and
  /// host_list_push.
  void onPeer(const peer_message &Message);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Returns the newest configuration; absent until one has been read, since
  /// there is no built-in one. Its version never decreases within a run.
  const std::optional<fleet_config> &config() const { return Config; }

  void appendGossip(gossip_payload &Payload,
                    const gossip_recipient &To) override;
  void onGossip(const gossip_payload &Payload, const host_run &Sender,
                const zone_id &SenderZone) override;
  bool hasUrgentUpdates() const override { return RumorRounds > 0; }
  void onRumorsSent() override;

private:
  /// Reading state of one platform object: a get, then watches while this host
  /// is one of the watchers of its zone.
  struct object_reader {
    object_key Key;
    call_purpose Purpose = call_purpose::Config;
    object_version Version;
    /// The call whose result determines the next step.
    std::optional<platform_call_id> Latest;
    /// Earlier calls that may still complete; with Latest at most
    /// MaxReadsAtOnce.
    std::set<platform_call_id> Earlier;
    /// When to read again, even if the latest call has not returned.
    std::optional<core_time> RetryAt;
    /// Watches that expired since the last get.
    std::uint32_t ExpiredWatches = 0;
  };
  /// A scheduled pull from a peer that has a newer version.
  struct pending_pull {
    entry_host_id Host;
    core_time At;
  };
  enum class update_source { Platform, Peer };

  void read(object_reader &Reader);
  bool shouldRead(const object_reader &Reader) const;
  bool hasCopy(const object_reader &Reader) const;
  core_duration retryDelay(const object_reader &Reader);
  void onReaderResult(object_reader &Reader, bool IsLatest,
                      const platform_result &Result);
  void accept(const stored_object &Value, object_version Version,
              update_source Source);
  void acceptConfig(const fleet_config &Offered, update_source Source);
  void acceptHostList(const host_list &Hosts, object_version Version);
  void logStale(config_version Offered);

  void on(const peer_message &Message, const config_pull &Body);
  void on(const peer_message &Message, const config_push &Body);
  void on(const peer_message &Message, const config_changes &Body);
  void on(const peer_message &Message, const host_list_pull &Body);
  void on(const peer_message &Message, const host_list_push &Body);
  template <typename Other> void on(const peer_message &, const Other &) {}

  config_version currentVersion() const;
  /// Returns the change records from Version to the current version; absent if
  /// they have a gap or contain more than MaxDifferencesPerPush differences,
  /// since the whole configuration is then smaller.
  std::optional<config_changes> changesSince(config_version Version) const;
  void sendUpdate(const entry_host_id &Host, config_version Have);
  void beginPush(update_source Source, config_version Before);
  void runPushRound();
  void offerChanges(const entry_host_id &Host, config_version Have);
  void sendDuePulls();
  void schedulePull(std::optional<pending_pull> &Pull, core_time LastAt,
                    const entry_host_id &Host, bool HaveNone);

  core_context &Context;
  platform_gateway &Gateway;
  membership &Members;
  config_listener &Listener;
  audit_archiver Archiver;
  std::optional<fleet_config> Config;
  std::uint64_t ConfigDigest = 0;
  std::optional<host_list> Hosts;
  object_version HostsVersion;
  object_reader ConfigReader;
  object_reader HostsReader;
  std::optional<core_time> NextRoleCheck;
  config_version LastStaleLogged;

  /// Remaining rounds of direct pushes for the current version.
  std::uint32_t PushRounds = 0;
  std::optional<core_time> NextPush;
  /// Hosts to which this host has pushed the current version.
  std::set<entry_host_id> PushedTo;
  bool FromPlatform = false;
  std::uint32_t RumorRounds = 0;
  std::optional<pending_pull> ConfigPull;
  std::optional<pending_pull> HostsPull;
  core_time LastConfigPull{};
  core_time LastHostsPull{};
  /// When the whole configuration was last requested.
  std::optional<core_time> LastWholePull;
  /// When changes were last offered to each lagging peer.
  std::map<entry_host_id, core_time> OfferedAt;
};

} // namespace jasminecroft::detail
