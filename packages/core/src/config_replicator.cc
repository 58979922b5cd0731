// Reads the configuration and the host list and keeps the newest.
#include "jasminecroft/core/detail/config_replicator.h"

#include "jasminecroft/core/config_edit.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration CheckInterval{500'000};
/// After so many watches without news the object is read again, in case that
/// the platform's versions have begun anew.
constexpr std::uint32_t ExpiredUntilGet = 20;
constexpr core_duration LongestWatcherBackoff{2'000'000};
constexpr core_duration HangingReadAfter{500'000};
constexpr std::size_t MaxReadsAtOnce = 3;

} // namespace

void config_replicator::start() {
  read(ConfigReader);
  read(HostsReader);
}

bool config_replicator::heldAny(const object_reader &Reader) const {
  return &Reader == &ConfigReader ? Config.has_value() : Hosts.has_value();
}

// Few watchers: the two hosts of each zone that rank first for the object. A
// host that has nothing yet, or sees no live peer in its zone, reads too; so
// does one that leaves, since peers pass it over.
bool config_replicator::wanted(const object_reader &Reader) const {
  return !heldAny(Reader) || Members.own().State == member_state::Left ||
         Members.ranksInZone(Reader.Key.Value);
}

// Watchers come back soon after an outage; all others can wait for peers.
core_duration config_replicator::retryDelay(const object_reader &Reader) {
  bool Watcher = heldAny(Reader) || Members.ranksInZone(Reader.Key.Value);
  return Gateway.backoff(Reader.Purpose, Watcher ? LongestWatcherBackoff
                                                 : core_duration::max());
}

void config_replicator::read(object_reader &Reader) {
  Reader.RetryAt.reset();
  if (!wanted(Reader)) {
    if (!NextCheck)
      NextCheck = Context.now() + CheckInterval;
    return;
  }
  platform_operation Operation = get_object{Reader.Key};
  bool Watch = Reader.Version.Value != 0 && Reader.Expired < ExpiredUntilGet;
  if (Watch)
    Operation = watch_object{Reader.Key, Reader.Version};
  else
    Reader.Expired = 0;
  if (Reader.Latest)
    Reader.Earlier.insert(*Reader.Latest);
  Reader.Latest = Gateway.call(*this, Reader.Purpose, std::move(Operation));
  // A read that hangs, since it was lost in an outage, holds nothing up.
  if (!Watch && Reader.Earlier.size() + 1 < MaxReadsAtOnce)
    Reader.RetryAt = Context.now() + HangingReadAfter + retryDelay(Reader);
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
    accept(Found->Value, Found->Version, news_source::Platform);
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
    ++Reader.Expired;
    read(Reader);
    return;
  }
  // After an outage the versions may have moved: a get comes first.
  Reader.Version = object_version();
  Reader.RetryAt = Context.now() + retryDelay(Reader);
}

void config_replicator::accept(const stored_object &Value,
                               object_version Version, news_source Source) {
  if (const host_list *Offered = std::get_if<host_list>(&Value))
    acceptHosts(*Offered, Version);
  else if (const fleet_config *NewConfig = std::get_if<fleet_config>(&Value))
    acceptConfig(*NewConfig, Source);
}

void config_replicator::acceptHosts(const host_list &Offered,
                                    object_version Version) {
  if (Hosts && Version <= HostsVersion)
    return;
  Hosts = Offered;
  HostsVersion = Version;
  RumorRounds = 3;
  Listener.onHostList(*Hosts);
  Members.hurry();
}

config_version config_replicator::heldVersion() const {
  return Config ? Config->Version : config_version();
}

void config_replicator::logStale(config_version Offered) {
  if (Offered == LastStaleLogged)
    return;
  LastStaleLogged = Offered;
  Context.log(event_number::ConfigStaleIgnored, event_severity::Warning,
              "older configuration ignored",
              {{"offered", std::to_string(Offered.Value)},
               {"held", std::to_string(heldVersion().Value)}});
}

void config_replicator::acceptConfig(const fleet_config &Offered,
                                     news_source Source) {
  if (Config && Offered.Version <= Config->Version) {
    if (Offered.Version < Config->Version)
      logStale(Offered.Version);
    return;
  }
  config_version Before = heldVersion();
  Config = Offered;
  ConfigDigest = configDigest(*Config);
  Members.setOwnConfig(Config->Version);
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
      Reader->RetryAt = Now + HangingReadAfter;
    else
      read(*Reader);
  }
  if (NextCheck && *NextCheck <= Now) {
    NextCheck.reset();
    for (object_reader *Reader : {&ConfigReader, &HostsReader})
      if (!Reader->Latest && !Reader->RetryAt)
        read(*Reader);
  }
  if (NextPush && *NextPush <= Now)
    pushRound();
  pullDue();
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
  Consider(NextCheck);
  Consider(NextPush);
  if (ConfigPull)
    Consider(ConfigPull->At);
  if (HostsPull)
    Consider(HostsPull->At);
  Consider(Archiver.nextWakeup());
  return Next;
}

} // namespace jasminecroft::detail
