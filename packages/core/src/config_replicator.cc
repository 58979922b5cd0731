// Reads the configuration and the host list from the platform and keeps the
// newest versions.
#include "jasminecroft/core/detail/config_replicator.h"

#include "jasminecroft/core/config_edit.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

/// Interval at which a host that does not read checks whether it has become a
/// watcher.
constexpr core_duration RoleCheckInterval = std::chrono::milliseconds(500);
/// Number of watches without a newer version after which the object is read
/// again, in case the platform has restarted its version numbers.
constexpr std::uint32_t MaxExpiredWatches = 20;
constexpr core_duration MaxWatcherBackoff = std::chrono::seconds(2);
/// Time without a result, plus the backoff, after which a read is repeated.
constexpr core_duration HungReadTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxReadsAtOnce = 3;

} // namespace

void config_replicator::start() {
  read(ConfigReader);
  read(HostsReader);
}

bool config_replicator::hasCopy(const object_reader &Reader) const {
  return &Reader == &ConfigReader ? Config.has_value() : Hosts.has_value();
}

// To limit the number of watchers, only the two hosts of each zone that rank
// first for the object read it. A host without a copy or without a live peer in
// its zone also reads, and so does a leaving host, since peers skip it.
bool config_replicator::shouldRead(const object_reader &Reader) const {
  return !hasCopy(Reader) || Members.own().State == member_state::Left ||
         Members.isTopRankedInZone(Reader.Key.Value);
}

// Watchers retry soon after an outage; all other hosts can wait for peers.
core_duration config_replicator::retryDelay(const object_reader &Reader) {
  bool Watcher = hasCopy(Reader) || Members.isTopRankedInZone(Reader.Key.Value);
  return Gateway.backoff(Reader.Purpose,
                         Watcher ? MaxWatcherBackoff : core_duration::max());
}

void config_replicator::read(object_reader &Reader) {
  Reader.RetryAt.reset();
  if (!shouldRead(Reader)) {
    if (!NextRoleCheck)
      NextRoleCheck = Context.now() + RoleCheckInterval;
    return;
  }
  platform_operation Operation = get_object{Reader.Key};
  bool Watch =
      Reader.Version.Value != 0 && Reader.ExpiredWatches < MaxExpiredWatches;
  if (Watch)
    Operation = watch_object{Reader.Key, Reader.Version};
  else
    Reader.ExpiredWatches = 0;
  if (Reader.Latest)
    Reader.Earlier.insert(*Reader.Latest);
  Reader.Latest = Gateway.call(*this, Reader.Purpose, std::move(Operation));
  // A read that hangs because it was lost in an outage must not delay the next.
  if (!Watch && Reader.Earlier.size() + 1 < MaxReadsAtOnce)
    Reader.RetryAt = Context.now() + HungReadTimeout + retryDelay(Reader);
}

void config_replicator::onPlatformResult(platform_call_id Call,
                                         const platform_result &Result) {
  for (object_reader *Reader : {&ConfigReader, &HostsReader}) {
    bool IsLatest = Reader->Latest == Call;
    if (IsLatest || Reader->Earlier.erase(Call) != 0)
      onReaderResult(*Reader, IsLatest, Result);
  }
}

void config_replicator::onReaderResult(object_reader &Reader, bool IsLatest,
                                       const platform_result &Result) {
  if (const object_found *Found = std::get_if<object_found>(&Result)) {
    accept(Found->Value, Found->Version, update_source::Platform);
    if (!IsLatest)
      return;
    Reader.Latest.reset();
    Reader.Version = Found->Version;
    read(Reader);
    return;
  }
  if (!IsLatest)
    return;
  Reader.Latest.reset();
  if (std::holds_alternative<watch_expired>(Result)) {
    ++Reader.ExpiredWatches;
    read(Reader);
    return;
  }
  // Versions may have changed during an outage, so the next read is a get.
  Reader.Version = object_version();
  Reader.RetryAt = Context.now() + retryDelay(Reader);
}

void config_replicator::accept(const stored_object &Value,
                               object_version Version, update_source Source) {
  if (const host_list *Offered = std::get_if<host_list>(&Value))
    acceptHostList(*Offered, Version);
  else if (const fleet_config *NewConfig = std::get_if<fleet_config>(&Value))
    acceptConfig(*NewConfig, Source);
}

void config_replicator::acceptHostList(const host_list &Offered,
                                       object_version Version) {
  if (Hosts && Version <= HostsVersion)
    return;
  Hosts = Offered;
  HostsVersion = Version;
  RumorRounds = 3;
  Listener.onHostList(*Hosts);
  Members.scheduleRumors();
}

config_version config_replicator::currentVersion() const {
  return Config ? Config->Version : config_version();
}

void config_replicator::logStale(config_version Offered) {
  if (Offered == LastStaleLogged)
    return;
  LastStaleLogged = Offered;
  Context.log(event_number::ConfigStaleIgnored, event_severity::Warning,
              "older configuration ignored",
              {{"offered", std::to_string(Offered.Value)},
               {"held", std::to_string(currentVersion().Value)}});
}

void config_replicator::acceptConfig(const fleet_config &Offered,
                                     update_source Source) {
  if (Config && Offered.Version <= Config->Version) {
    if (Offered.Version < Config->Version)
      logStale(Offered.Version);
    return;
  }
  config_version Before = currentVersion();
  Config = Offered;
  ConfigDigest = configDigest(*Config);
  Members.setOwnConfigVersion(Config->Version);
  Context.log(event_number::ConfigApplied, event_severity::Info,
              "configuration applied",
              {{"version", std::to_string(Config->Version.Value)}});
  beginPush(Source, Before);
  Archiver.onConfig(*Config);
  Listener.onConfig(*Config);
}

void config_replicator::onWakeup() {
  core_time Now = Context.now();
  for (object_reader *Reader : {&ConfigReader, &HostsReader}) {
    if (!Reader->RetryAt || *Reader->RetryAt > Now)
      continue;
    if (Reader->Latest && Reader->Earlier.size() + 1 >= MaxReadsAtOnce)
      Reader->RetryAt = Now + HungReadTimeout;
    else
      read(*Reader);
  }
  if (NextRoleCheck && *NextRoleCheck <= Now) {
    NextRoleCheck.reset();
    for (object_reader *Reader : {&ConfigReader, &HostsReader})
      if (!Reader->Latest && !Reader->RetryAt)
        read(*Reader);
  }
  if (NextPush && *NextPush <= Now)
    runPushRound();
  sendDuePulls();
  Archiver.onWakeup();
}

std::optional<core_time> config_replicator::nextWakeup() const {
  std::optional<core_time> Next;
  auto Consider = [&Next](std::optional<core_time> Time) {
    if (Time && (!Next || *Time < *Next))
      Next = Time;
  };
  Consider(ConfigReader.RetryAt);
  Consider(HostsReader.RetryAt);
  Consider(NextRoleCheck);
  Consider(NextPush);
  if (ConfigPull)
    Consider(ConfigPull->At);
  if (HostsPull)
    Consider(HostsPull->At);
  Consider(Archiver.nextWakeup());
  return Next;
}

} // namespace jasminecroft::detail
