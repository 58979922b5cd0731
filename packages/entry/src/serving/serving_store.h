// What the platform's store says, handed to the serving core: configuration,
// backend servers and entry hosts. Objects that cannot be read are logged and
// ignored; what was known before stays in force.
#pragma once

#include "host_registration.h"
#include "jasminecroft/entry/serving_settings.h"
#include "line_log.h"
#include "serving_metrics.h"
#include "store_watch.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace jasminecroft::detail {

class serving_store final : private store_watch_listener {
public:
  /// Changed is called after each change that the core was told of.
  serving_store(boost::asio::io_context &Context,
                const serving_host_settings &Settings, serving_core &Core,
                line_log &Log, std::function<void()> Changed);

  void start();
  /// Peers know of changes of this kind that were not read here.
  void readAgain(store_kind Kind);
  void watchClosely(bool Closely);
  /// Of the configuration, the backend servers and the emptied zones.
  void setSource(store_source Source);
  /// A watcher has told all changes of backend servers up to Revision.
  void onBackendsTold(object_version Revision);
  /// Takes this host off the list of entry hosts.
  void leave();
  void stop();
  /// Time since the store last answered, by kind of objects.
  std::vector<std::pair<std::string_view, std::chrono::milliseconds>>
  silences() const;
  /// Calls by kind of objects and purpose, since the start.
  std::vector<std::pair<std::string, std::uint64_t>> calls() const;
  /// The same as one text for the log.
  std::string describeCalls() const;
  /// Sets what is known of the store.
  void addTo(serving_gauges &Gauges) const;
  /// Decodes a configuration and hands it to the core if it can be read.
  void takeConfig(const std::string &Text);

private:
  /// The store came back from an older copy.
  void onLaterEra(store_era Era);
  void startWatch(std::string_view Kind, const watch_rules &Rules);
  void onObjects(std::string_view Kind,
                 const std::vector<platform::store_object> &Objects,
                 object_version Current) override;
  void onChange(std::string_view Kind,
                const platform::store_object &Object) override;
  void onUnreadable(std::string_view Kind,
                    const platform::unreadable_object &Object) override;
  void onReadTo(std::string_view Kind, object_version Revision) override;
  void onStoreLost(std::string_view Kind, std::string_view Why) override;
  void onStoreBack(std::string_view Kind) override;
  void onCallBegun(const store_call_report &Call) override;
  void onCallFailed(const store_call_report &Call) override;

  std::optional<backend_entry>
  decodeBackend(const platform::store_object &Object);
  void takeBackend(const platform::store_object &Object);
  void takeEntryHost(const platform::store_object &Object);
  zone_order readZoneOrder(const platform::store_object &Object);
  static std::optional<store_kind> coreKind(std::string_view Kind);
  /// Logs and counts an object that cannot be read, once for each revision.
  void tellUnreadable(std::string_view Kind, const std::string &Name,
                      object_version Revision,
                      const platform::object_error &Error);
  void write(event_number Number, event_severity Severity,
             std::string_view Message, std::vector<event_field> Fields);

  boost::asio::io_context &Context;
  endpoint Address;
  bool ReadsEmptiedZones;
  serving_core &Core;
  line_log &Log;
  std::function<void()> Changed;
  std::unique_ptr<http_client> Client;
  store_reach Reach;
  std::vector<std::shared_ptr<store_watch>> Watches;
  std::shared_ptr<host_registration> Registration;
  /// By kind and name. An object without a readable name has its digest as
  /// revision.
  using unreadable_key = std::pair<std::string, std::string>;
  std::set<std::pair<unreadable_key, object_version>> ToldUnreadable;
  /// Objects that could not be read since the start, each revision once.
  std::uint64_t UnreadableObjects = 0;
  std::uint64_t FailedCalls = 0;
};

} // namespace jasminecroft::detail
