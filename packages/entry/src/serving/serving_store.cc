// Watches of the kinds of objects, and what their changes mean.
#include "serving_store.h"

#include "../steady_time.h"

namespace jasminecroft::detail {

namespace {

using std::chrono::milliseconds;

/// Changes gather for a part of the time in which their kind has to be known:
/// configurations and leaving servers 2 s, emptied zones 5 s. Entry hosts are
/// also found by their messages, so that old news and the longest watch will
/// do.
constexpr watch_rules ConfigRules{milliseconds(60), milliseconds(10'000),
                                  milliseconds(1'000), false};
constexpr watch_rules BackendRules{milliseconds(300), milliseconds(10'000),
                                   milliseconds(10'000), false};
constexpr watch_rules EntryHostRules{milliseconds(1'000), milliseconds(30'000),
                                     milliseconds(30'000), true};
/// Unreadable objects that are remembered, so that none is told twice.
constexpr std::size_t MaxToldUnreadable = 1'024;

} // namespace

serving_store::serving_store(boost::asio::io_context &Context,
                             const serving_host_settings &Settings,
                             serving_core &Core, line_log &Log,
                             std::function<void()> Changed)
    : Context(Context), Address(Settings.Store),
      ReadsEmptiedZones(Settings.EmptiedZones), Core(Core), Log(Log),
      Changed(std::move(Changed)), Client(makeHttpClient(Context)) {}

void serving_store::start() {
  Reach.setOnLaterEra([this](store_era Era) { onLaterEra(Era); });
  startWatch(platform::ConfigKind, ConfigRules);
  startWatch(platform::BackendKind, BackendRules);
  startWatch(platform::EntryHostKind, EntryHostRules);
  if (ReadsEmptiedZones)
    startWatch(platform::EmptiedZoneKind, BackendRules);
  Registration = std::make_shared<host_registration>(
      Context, *Client, Address, Core.selfAsHost(), Core.self().Run,
      static_cast<store_watch_listener &>(*this));
  Registration->start();
}

void serving_store::onLaterEra(store_era Era) {
  Core.onStoreEra(Era, now());
  Registration->verify();
  Changed();
}

void serving_store::startWatch(std::string_view Kind,
                               const watch_rules &Rules) {
  Watches.push_back(std::make_shared<store_watch>(
      Context, *Client, Address, Kind, Rules,
      Core.self().Run.Value + Watches.size(), Reach,
      static_cast<store_watch_listener &>(*this)));
  Watches.back()->start();
}

void serving_store::readAgain(store_kind Kind) {
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    if (coreKind(Watch->kind()) == Kind)
      Watch->check();
}

void serving_store::watchClosely(bool Closely) {
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    Watch->setClose(Closely);
}

void serving_store::setSource(store_source Source) {
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    if (coreKind(Watch->kind()))
      Watch->setOnDemand(Source == store_source::Watcher);
}

void serving_store::onBackendsTold(object_version Revision) {
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    if (Watch->kind() == platform::BackendKind)
      Watch->onTold(Revision);
}

std::optional<store_kind> serving_store::coreKind(std::string_view Kind) {
  if (Kind == platform::ConfigKind)
    return store_kind::Config;
  if (Kind == platform::BackendKind)
    return store_kind::Backends;
  if (Kind == platform::EmptiedZoneKind)
    return store_kind::EmptiedZones;
  return std::nullopt;
}

std::vector<std::pair<std::string, std::uint64_t>>
serving_store::calls() const {
  std::vector<std::pair<std::string, std::uint64_t>> Result;
  for (const std::shared_ptr<store_watch> &Watch : Watches) {
    std::string Kind(Watch->kind());
    Result.emplace_back(Kind + "_list", Watch->counts().Lists);
    Result.emplace_back(Kind + "_watch", Watch->counts().Watches);
    Result.emplace_back(Kind + "_check", Watch->counts().Checks);
  }
  Result.emplace_back("registration", Registration->calls());
  return Result;
}

std::string serving_store::describeCalls() const {
  std::string Text;
  for (const std::pair<std::string, std::uint64_t> &Calls : calls())
    Text += (Text.empty() ? "" : " ") + Calls.first + "=" +
            std::to_string(Calls.second);
  return Text;
}

void serving_store::addTo(serving_gauges &Gauges) const {
  Gauges.StoreCallsFailed = FailedCalls;
  Gauges.UnreadableObjects = UnreadableObjects;
  Gauges.StoreSilences = silences();
  Gauges.StoreCalls = calls();
}

void serving_store::leave() {
  Registration->leave([] {});
}

void serving_store::stop() {
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    Watch->stop();
  Registration->stop();
}

void serving_store::write(event_number Number, event_severity Severity,
                          std::string_view Message,
                          std::vector<event_field> Fields) {
  Log.write({Number, Severity, Message, std::move(Fields)});
}

void serving_store::onObjects(
    std::string_view Kind, const std::vector<platform::store_object> &Objects,
    object_version Current) {
  if (Kind == platform::BackendKind) {
    std::vector<backend_entry> Entries;
    for (const platform::store_object &Object : Objects)
      if (std::optional<backend_entry> Entry = decodeBackend(Object))
        Entries.push_back(*Entry);
    Core.onBackendList(Entries, Current, now());
    Core.onStoreRead(store_kind::Backends, now());
    Changed();
    return;
  }
  if (Kind == platform::EmptiedZoneKind) {
    std::vector<zone_order> Emptied;
    for (const platform::store_object &Object : Objects)
      if (!Object.Deleted)
        Emptied.push_back(readZoneOrder(Object));
    Core.onZoneList(Emptied, Current, now());
    Core.onStoreRead(store_kind::EmptiedZones, now());
    Changed();
    return;
  }
  for (const platform::store_object &Object : Objects)
    onChange(Kind, Object);
  if (Kind == platform::EntryHostKind)
    Core.onHostsRead(now());
  if (std::optional<store_kind> Of = coreKind(Kind))
    Core.onStoreRead(*Of, now());
}
void serving_store::onChange(std::string_view Kind,
                             const platform::store_object &Object) {
  if (Kind == platform::ConfigKind) {
    if (Object.Name == platform::ConfigName && !Object.Deleted)
      takeConfig(Object.Spec);
  } else if (Kind == platform::BackendKind) {
    takeBackend(Object);
  } else if (Kind == platform::EmptiedZoneKind) {
    Core.onZoneOrder(readZoneOrder(Object), now());
  } else {
    takeEntryHost(Object);
  }
  Changed();
}
void serving_store::onUnreadable(std::string_view Kind,
                                 const platform::unreadable_object &Object) {
  tellUnreadable(Kind, "", object_version(Object.Digest), Object.Error);
}
void serving_store::tellUnreadable(std::string_view Kind,
                                   const std::string &Name,
                                   object_version Revision,
                                   const platform::object_error &Error) {
  if (ToldUnreadable.size() >= MaxToldUnreadable)
    ToldUnreadable.clear();
  if (!ToldUnreadable.insert({{std::string(Kind), Name}, Revision}).second)
    return;
  ++UnreadableObjects;
  write(event_number::BackendEntryUnreadable, event_severity::Warning,
        Kind == platform::EmptiedZoneKind && !Name.empty()
            ? "entry of an emptied zone cannot be read; its name counts"
            : "object of the platform's store cannot be read and is ignored",
        {{"kind", std::string(Kind)},
         {"name", Name},
         {"problem", std::string(platform::toText(Error.Problem))},
         {"field", Error.Where}});
}
void serving_store::onReadTo(std::string_view Kind, object_version Revision) {
  if (Kind == platform::BackendKind)
    Core.onBackendsRead(Revision, now());
  else if (Kind == platform::EmptiedZoneKind)
    Core.onZonesRead(Revision, now());
  if (std::optional<store_kind> Of = coreKind(Kind))
    Core.onStoreRead(*Of, now());
  Changed();
}
void serving_store::onStoreLost(std::string_view Kind, std::string_view Why) {
  if (std::optional<store_kind> Of = coreKind(Kind))
    Core.onStoreLost(*Of, now());
  write(event_number::PlatformAway, event_severity::Warning,
        "platform's store cannot be read",
        {{"kind", std::string(Kind)}, {"why", std::string(Why)}});
}
void serving_store::onStoreBack(std::string_view Kind) {
  write(event_number::PlatformBack, event_severity::Info,
        "platform's store is read again", {{"kind", std::string(Kind)}});
}

void serving_store::onCallBegun(const store_call_report &Call) {
  write(event_number::StoreCallBegun, event_severity::Info,
        "call to the platform's store begun while it is away",
        {{"kind", std::string(Call.Kind)},
         {"call", std::string(Call.Call)},
         {"limit_ms", std::to_string(Call.Limit.count())}});
}
void serving_store::onCallFailed(const store_call_report &Call) {
  ++FailedCalls;
  write(event_number::StoreCallFailed, event_severity::Warning,
        "call to the platform's store failed",
        {{"kind", std::string(Call.Kind)},
         {"call", std::string(Call.Call)},
         {"why", Call.Why},
         {"ms", std::to_string(Call.Took.count())},
         {"limit_ms", std::to_string(Call.Limit.count())}});
}

std::vector<std::pair<std::string_view, std::chrono::milliseconds>>
serving_store::silences() const {
  std::vector<std::pair<std::string_view, std::chrono::milliseconds>> Result;
  for (const std::shared_ptr<store_watch> &Watch : Watches)
    Result.emplace_back(Watch->kind(), Watch->silence());
  return Result;
}

void serving_store::takeConfig(const std::string &Text) {
  std::variant<std::shared_ptr<const route_config>, platform::object_error>
      Decoded = platform::decodeConfig(Text);
  if (platform::object_error *Problem =
          std::get_if<platform::object_error>(&Decoded)) {
    write(event_number::OperatorConfigUnreadable, event_severity::Error,
          "operator's configuration cannot be read; the earlier one stays",
          {{"problem", std::string(platform::toText(Problem->Problem))},
           {"field", Problem->Where}});
    return;
  }
  Core.onConfig(std::get<std::shared_ptr<const route_config>>(Decoded), Text,
                now());
  Changed();
}

std::optional<backend_entry>
serving_store::decodeBackend(const platform::store_object &Object) {
  std::variant<backend_entry, platform::object_error> Decoded =
      platform::decodeBackend(Object);
  if (platform::object_error *Problem =
          std::get_if<platform::object_error>(&Decoded)) {
    tellUnreadable(platform::BackendKind, Object.Name, Object.Revision,
                   *Problem);
    return std::nullopt;
  }
  return std::get<backend_entry>(Decoded);
}

void serving_store::takeBackend(const platform::store_object &Object) {
  std::optional<backend_entry> Entry;
  if (!Object.Deleted)
    Entry = decodeBackend(Object);
  if (!Entry) {
    write(event_number::BackendUnlisted, event_severity::Info,
          "backend server left the list",
          {{"server", Object.Name},
           {"revision", std::to_string(Object.Revision.Value)}});
    Core.onBackendRemoved(backend_id(Object.Name), Object.Revision, now());
    return;
  }
  write(event_number::BackendListed, event_severity::Info,
        "backend server listed",
        {{"server", Object.Name},
         {"pool", Entry->Pool.Value},
         {"state", Entry->Draining ? "draining" : "ready"},
         {"revision", std::to_string(Object.Revision.Value)}});
  Core.onBackend(*Entry, now());
}

// An entry that cannot be read still names a zone that has to be spared.
zone_order serving_store::readZoneOrder(const platform::store_object &Object) {
  if (std::optional<platform::object_error> Error =
          platform::checkZoneOrder(Object))
    tellUnreadable(platform::EmptiedZoneKind, Object.Name, Object.Revision,
                   *Error);
  return platform::decodeZoneOrder(Object);
}

void serving_store::takeEntryHost(const platform::store_object &Object) {
  if (entry_host_id(Object.Name) == Core.self().Host)
    Registration->onSeen(Object);
  if (Object.Deleted) {
    Core.onHostRemoved(entry_host_id(Object.Name), now());
    return;
  }
  std::variant<batching_host, platform::object_error> Decoded =
      platform::decodeEntryHost(Object);
  if (batching_host *Host = std::get_if<batching_host>(&Decoded))
    Core.onHost(*Host, now());
  else
    tellUnreadable(platform::EntryHostKind, Object.Name, Object.Revision,
                   std::get<platform::object_error>(Decoded));
}

} // namespace jasminecroft::detail
