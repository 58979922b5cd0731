// JSON form of stored objects. The member "kind" tells them apart; "format" is
// raised when an older reader could misread the object.
#include "detail/json_config.h"
#include "jasminecroft/wire/json_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace jasminecroft {

using namespace detail;

namespace {

namespace json = boost::json;

constexpr std::int64_t StoredFormat = 1;

claim_state claimStateFromJson(const json_reader &Reader) {
  std::string Text = Reader.text();
  for (claim_state State : {claim_state::Claimed, claim_state::Done,
                            claim_state::NotRun, claim_state::Unknown})
    if (Text == toText(State))
      return State;
  Reader.fail(codec_problem::OutOfRange);
  return claim_state::Unknown;
}

json::object claimToJson(const claim_record &Record) {
  json::object Object{{"kind", "claim"},
                      {"format", StoredFormat},
                      {"workspace", Record.Workspace.Value},
                      {"key", Record.Key.Value},
                      {"stage", Record.Stage.Value},
                      {"holder", Record.Holder.Host.Value},
                      {"run", Record.Holder.Run.Value},
                      {"attempt", Record.Attempt.Value},
                      {"request", Record.Request.Value},
                      {"state", toText(Record.State)},
                      {"claimed_at", jasminecroft::toText(Record.ClaimedAt)},
                      {"deadline", jasminecroft::toText(Record.Deadline)}};
  if (Record.CallNumber)
    Object["call"] = *Record.CallNumber;
  if (Record.Output)
    Object["output"] = *Record.Output;
  return Object;
}

constexpr std::int64_t MaxCallNumber =
    std::numeric_limits<std::uint32_t>::max();

claim_record claimFromJson(const json_reader &Reader) {
  claim_record Record;
  Record.Workspace = Reader.id<workspace_id>("workspace");
  Record.Key = Reader.id<idempotency_key>("key");
  Record.Stage = Reader.id<stage_id>("stage");
  Record.Holder.Host = Reader.id<entry_host_id>("holder");
  Record.Holder.Run = Reader.number<incarnation>("run");
  Record.Attempt = Reader.number<attempt_id>("attempt");
  Record.Request = Reader.number<fingerprint>("request");
  Record.State = claimStateFromJson(Reader.member("state"));
  if (Reader.has("call"))
    Record.CallNumber = static_cast<std::uint32_t>(
        Reader.member("call").integer(0, MaxCallNumber));
  if (Reader.has("output"))
    Record.Output = Reader.member("output").text();
  Record.ClaimedAt = Reader.member("claimed_at").time();
  Record.Deadline = Reader.member("deadline").time();
  return Record;
}

json::object hostToJson(const listed_host &Host) {
  bool IsEntry = Host.Kind == host_kind::EntryHost;
  bool IsLeaving = Host.State == host_state::Leaving;
  return {{"kind", IsEntry ? "entry_host" : "backend_server"},
          {"name", Host.Name},
          {"zone", Host.Zone.Value},
          {"region", Host.Region.Value},
          {"address", Host.Address.Value},
          {"pool", Host.Pool.Value},
          {"run", Host.Run.Value},
          {"state", IsLeaving ? "leaving" : "live"}};
}

host_kind hostKindFromJson(const json_reader &Reader) {
  std::string Text = Reader.text();
  if (Text == "entry_host")
    return host_kind::EntryHost;
  if (Text != "backend_server")
    Reader.fail(codec_problem::OutOfRange);
  return host_kind::BackendServer;
}

host_state hostStateFromJson(const json_reader &Reader) {
  std::string Text = Reader.text();
  if (Text == "leaving")
    return host_state::Leaving;
  if (Text != "live")
    Reader.fail(codec_problem::OutOfRange);
  return host_state::Live;
}

listed_host hostFromJson(const json_reader &Reader) {
  listed_host Host;
  Host.Kind = hostKindFromJson(Reader.member("kind"));
  Host.Name = Reader.member("name").text();
  Host.Zone = Reader.id<zone_id>("zone");
  if (Reader.has("region"))
    Host.Region = Reader.id<region_id>("region");
  Host.Address = Reader.id<endpoint>("address");
  if (Reader.has("pool"))
    Host.Pool = Reader.id<pool_id>("pool");
  if (Reader.has("run"))
    Host.Run = Reader.number<incarnation>("run");
  Host.State = hostStateFromJson(Reader.member("state"));
  return Host;
}

struct object_encoder {
  json::object operator()(const fleet_config &Config) const {
    return configToJson(Config);
  }
  json::object operator()(const claim_record &Record) const {
    return claimToJson(Record);
  }
  json::object operator()(const host_list &List) const {
    json::array Hosts;
    for (const listed_host &Host : List.Hosts)
      Hosts.push_back(hostToJson(Host));
    return {{"kind", "hosts"},
            {"format", StoredFormat},
            {"hosts", std::move(Hosts)}};
  }
  json::object operator()(const archived_change &Archived) const {
    return {{"kind", "archived_change"},
            {"format", StoredFormat},
            {"change", changeToJson(Archived.Change)}};
  }
};

host_list hostListFromJson(const json_reader &Reader) {
  host_list List;
  for (const json_reader &Element : Reader.member("hosts").elements())
    List.Hosts.push_back(hostFromJson(Element));
  return List;
}

stored_object storedFromJson(const json_reader &Reader) {
  std::string Kind = Reader.member("kind").text();
  if (Reader.member("format").unsignedInteger() != StoredFormat)
    Reader.member("format").fail(codec_problem::UnknownVersion);
  if (Kind == "fleet_config")
    return configFromJson(Reader);
  if (Kind == "claim")
    return claimFromJson(Reader);
  if (Kind == "hosts")
    return hostListFromJson(Reader);
  if (Kind == "archived_change")
    return archived_change{changeFromJson(Reader.member("change"))};
  Reader.member("kind").fail(codec_problem::OutOfRange);
  return host_list{};
}

// Writes JSON with two spaces of indentation, for people.
void writeIndented(std::string &Out, const json::value &Value,
                   std::size_t Depth) {
  std::string Inner(2 * (Depth + 1), ' ');
  std::string Outer(2 * Depth, ' ');
  if (const json::object *Object = Value.if_object();
      Object && !Object->empty()) {
    Out += "{\n";
    std::size_t Left = Object->size();
    for (const json::key_value_pair &Member : *Object) {
      Out += Inner + json::serialize(json::value(Member.key())) + ": ";
      writeIndented(Out, Member.value(), Depth + 1);
      Out += --Left ? ",\n" : "\n";
    }
    Out += Outer + "}";
    return;
  }
  if (const json::array *Array = Value.if_array(); Array && !Array->empty()) {
    Out += "[\n";
    std::size_t Left = Array->size();
    for (const json::value &Element : *Array) {
      Out += Inner;
      writeIndented(Out, Element, Depth + 1);
      Out += --Left ? ",\n" : "\n";
    }
    Out += Outer + "]";
    return;
  }
  Out += json::serialize(Value);
}

} // namespace

std::string encodeStored(const stored_object &Object) {
  return json::serialize(std::visit(object_encoder(), Object));
}

codec_result<stored_object> decodeStored(std::string_view Text) {
  decode_state State;
  json::value Value = parseJson(Text, State);
  if (State.error())
    return *State.error();
  stored_object Object = storedFromJson(json_reader(&Value, "", State));
  if (State.error())
    return *State.error();
  return Object;
}

codec_result<std::vector<listed_object>>
decodeObjectList(std::string_view Text) {
  decode_state State;
  json::value Value = parseJson(Text, State);
  if (State.error())
    return *State.error();
  std::vector<listed_object> Objects;
  json_reader Reader(&Value, "", State);
  for (const json_reader &Entry : Reader.member("keys").elements())
    Objects.push_back(
        {Entry.id<object_key>("key"), Entry.number<object_version>("version")});
  if (State.error())
    return *State.error();
  return Objects;
}

codec_result<fleet_config> decodeConfig(std::string_view Text) {
  decode_state State;
  json::value Value = parseJson(Text, State);
  if (State.error())
    return *State.error();
  fleet_config Config = configFromJson(json_reader(&Value, "", State));
  if (State.error())
    return *State.error();
  return Config;
}

std::string encodeChange(const change_record &Change) {
  return json::serialize(changeToJson(Change));
}

std::string encodeConfigForEditing(const fleet_config &Config) {
  json::object Object = configToJson(Config);
  for (std::string_view Name : {"kind", "format", "defaults_since", "changes"})
    Object.erase(Name);
  std::string Out;
  writeIndented(Out, Object, 0);
  return Out + "\n";
}

} // namespace jasminecroft
