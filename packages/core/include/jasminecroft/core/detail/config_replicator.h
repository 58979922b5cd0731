// Keeps the newest configuration and host list that this host has seen, and
// spreads them. A restart loses both; they are read again from the platform or
// from peers.
#pragma once

#include "jasminecroft/core/detail/audit_archiver.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"

#include <map>
#include <optional>
#include <set>

namespace jasminecroft::detail {

/// Hears of news that the config_replicator has accepted.
class config_listener {
public:
  virtual ~config_listener() = default;
  virtual void onConfig(const fleet_config &Config) = 0;
  virtual void onHostList(const host_list &Hosts) = 0;
};

class config_replicator final : public platform_result_handler,
                                public gossip_part {
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
  /// Absent until a configuration was read; never a made-up one. Its version
  /// never decreases within a run.
  const std::optional<fleet_config> &config() const { return Config; }

  void fill(gossip_payload &Payload, const gossip_audience &To) override;
  void take(const gossip_payload &Payload, const host_run &Sender,
            const zone_id &SenderZone) override;
  bool hasUrgentNews() const override { return RumorRounds > 0; }
  void onRumorsSent() override;

private:
  /// Reading of one platform object: a get, then watches while this host is
  /// one of the watchers of its zone.
  struct object_reader {
    object_key Key;
    call_purpose Purpose = call_purpose::Config;
    object_version Version;
    /// The call that decides what is done next.
    std::optional<platform_call_id> Latest;
    /// Earlier reads that may still answer; at most MaxReadsAtOnce with Latest.
    std::set<platform_call_id> Earlier;
    /// When to try again, also though the latest read has not returned.
    std::optional<core_time> RetryAt;
    /// Watches that ended without news since the last get.
    std::uint32_t Expired = 0;
  };
  /// Asking a peer that holds something newer.
  struct pending_pull {
    entry_host_id Host;
    core_time At;
  };
  enum class news_source { Platform, Peer };

  void read(object_reader &Reader);
  bool wanted(const object_reader &Reader) const;
  bool heldAny(const object_reader &Reader) const;
  core_duration retryDelay(const object_reader &Reader);
  void onReaderResult(object_reader &Reader, bool IsLatest,
                      const platform_result &Result);
  void accept(const stored_object &Value, object_version Version,
              news_source Source);
  void acceptConfig(const fleet_config &Offered, news_source Source);
  void acceptHosts(const host_list &Hosts, object_version Version);
  void logStale(config_version Offered);

  void on(const peer_message &Message, const config_pull &Body);
  void on(const peer_message &Message, const config_push &Body);
  void on(const peer_message &Message, const config_changes &Body);
  void on(const peer_message &Message, const host_list_pull &Body);
  void on(const peer_message &Message, const host_list_push &Body);
  template <typename Other> void on(const peer_message &, const Other &) {}

  config_version heldVersion() const;
  /// The records from a version to the one held; absent if they have a gap or
  /// are larger than the whole.
  std::optional<config_changes> changesSince(config_version Version) const;
  void sendNewer(const entry_host_id &Host, config_version Have);
  void beginPush(news_source Source, config_version Before);
  void pushRound();
  void offerTo(const entry_host_id &Host, config_version Have);
  void pullDue();
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
  std::optional<core_time> NextCheck;
  config_version LastStaleLogged;

  /// Rounds of direct pushes left for the version held.
  std::uint32_t PushRounds = 0;
  std::optional<core_time> NextPush;
  /// Hosts that got the version held from this one by push.
  std::set<entry_host_id> PushedTo;
  bool FromPlatform = false;
  std::uint32_t RumorRounds = 0;
  std::optional<pending_pull> ConfigPull;
  std::optional<pending_pull> HostsPull;
  core_time LastConfigPull{};
  core_time LastHostsPull{};
  /// When the whole configuration was last asked for.
  std::optional<core_time> LastWholePull;
  /// When changes were last offered to a lagging peer.
  std::map<entry_host_id, core_time> OfferedAt;
};

} // namespace jasminecroft::detail
