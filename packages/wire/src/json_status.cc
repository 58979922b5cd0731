// JSON form of what an operator reads back from an entry host.
#include "detail/json_config.h"
#include "jasminecroft/wire/json_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace jasminecroft {

using namespace detail;

namespace {

namespace json = boost::json;

std::int64_t milliseconds(core_duration Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

json::object recordToJson(const event_record &Record) {
  json::object Fields;
  for (const event_field &Field : Record.Fields)
    Fields[Field.Name] = Field.Value;
  return {{"event", static_cast<std::int64_t>(Record.Number)},
          {"message", Record.Message},
          {"fields", std::move(Fields)}};
}

struct status_encoder {
  json::object operator()(const summary_status &Status) const {
    json::object Counters;
    for (const status_counter &Counter : Status.Counters)
      Counters[Counter.Name] = Counter.Value;
    json::array Costs;
    for (const workspace_cost &Cost : Status.Costs)
      Costs.push_back(
          json::object{{"workspace", Cost.Workspace.Value},
                       {"stage", Cost.Stage.Value},
                       {"attempts", Cost.Attempts},
                       {"done_ms", milliseconds(Cost.Done)},
                       {"lost_ms", milliseconds(Cost.Lost)},
                       {"hedged_ms", milliseconds(Cost.Hedged)},
                       {"given_up_ms", milliseconds(Cost.GivenUp)}});
    return {{"host", Status.Self.Host.Value},
            {"run", Status.Self.Run.Value},
            {"zone", Status.Zone.Value},
            {"config_version", Status.Config.Value},
            {"platform_away", Status.PlatformAway},
            {"in_flight", Status.InFlight},
            {"pending_outcome_writes", Status.PendingOutcomeWrites},
            {"counters", std::move(Counters)},
            {"costs", std::move(Costs)}};
  }
  json::object operator()(const members_status &Status) const {
    json::array Members;
    for (const member_update &Member : Status.Members)
      Members.push_back(json::object{{"host", Member.Host.Value},
                                     {"run", Member.Run.Value},
                                     {"state", toText(Member.State)},
                                     {"zone", Member.Zone.Value},
                                     {"region", Member.Region.Value},
                                     {"address", Member.Address.Value},
                                     {"config_version", Member.Config.Value}});
    return {{"members", std::move(Members)}};
  }
  json::object operator()(const backends_status &Status) const {
    json::array Backends;
    for (const backend_status &Backend : Status.Backends)
      Backends.push_back(
          json::object{{"backend", Backend.Backend.Value},
                       {"run", Backend.Run.Value},
                       {"zone", Backend.Zone.Value},
                       {"pool", Backend.Pool.Value},
                       {"leaving", Backend.Leaving},
                       {"slots", Backend.Slots},
                       {"own_in_flight", Backend.OwnInFlight},
                       {"reported_in_flight", Backend.ReportedInFlight},
                       {"report_age_ms", milliseconds(Backend.ReportAge)},
                       {"slowness", Backend.Slowness}});
    return {{"backends", std::move(Backends)}};
  }
  json::object operator()(const config_status &Status) const {
    return configToJson(Status.Config);
  }
  json::object operator()(const decisions_status &Status) const {
    json::array Decisions;
    for (const decision_entry &Entry : Status.Decisions) {
      json::object Object = recordToJson(Entry.Record);
      Object["age_ms"] = milliseconds(Entry.Age);
      Decisions.push_back(std::move(Object));
    }
    return {{"decisions", std::move(Decisions)}};
  }
};

} // namespace

std::string encodeStatus(const status_document &Document) {
  return json::serialize(std::visit(status_encoder(), Document));
}

} // namespace jasminecroft
