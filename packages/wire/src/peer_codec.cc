// Writes and reads messages between entry hosts as CBOR arrays.
#include "jasminecroft/wire/peer_codec.h"

#include "cbor_check.h"
#include "peer_codec_config.h"
#include "peer_codec_pieces.h"

#include <algorithm>
#include <type_traits>

namespace jasminecroft {

using namespace detail;

namespace {

constexpr std::size_t MaxOutputBytes = 1'048'576;
constexpr std::size_t MaxKeyBytes = 4096;
/// Longest age that a load delta may claim, in milliseconds.
constexpr std::uint64_t MaxAgeMs = 3'600'000;

/// Numbers of the bodies on the wire: never reused, never renumbered.
enum class body_number : std::uint8_t {
  Probe = 1,
  ProbeAck = 2,
  IndirectProbe = 3,
  IndirectAck = 4,
  ConfigPull = 5,
  ConfigPush = 6,
  HostListPull = 7,
  HostListPush = 8,
  ClaimQuery = 9,
  ClaimQueryReply = 10,
  Rumor = 11,
  ConfigChanges = 12,
  HostHeartbeat = 13,
  OperatorConfigPull = 14,
  OperatorConfigPush = 15,
  PieceRequest = 16,
  PiecesAccepted = 17,
  PiecesCompleted = 18,
  PiecesFailed = 19,
  PiecesCancelled = 20,
  ResultsReleased = 21,
  InputsFetched = 22,
  DemandForecast = 23,
  StorePoll = 24,
  StoreNews = 25,
  CrashReport = 26,
  PartRulings = 27,
  ServerLimitList = 28,
  SendPermitRequest = 29,
  SendPermitReply = 30,
  ServerLeaving = 31,
  ZoneOrders = 32,
  EngineTimes = 33,
  ColdServerList = 34,
  PromptRoomRequest = 35,
  PromptRoomReply = 36,
  PromptRead = 37,
};

cbor_value writeMember(const member_update &Member) {
  return writeRecord(Member.Host.Value, Member.Run.Value, Member.Refutation,
                     static_cast<unsigned>(Member.State), Member.Zone.Value,
                     Member.Region.Value, Member.Address.Value,
                     Member.Config.Value);
}

void readMember(field_reader &Reader, member_update &Member) {
  Reader.id("host", Member.Host);
  Reader.version("run", Member.Run);
  Member.Refutation = Reader.number32("refutation");
  Member.State = Reader.choice("state", member_state::Left);
  Reader.id("zone", Member.Zone);
  Reader.id("region", Member.Region);
  Reader.id("address", Member.Address);
  Reader.version("config", Member.Config);
}

cbor_value writeLoad(const load_delta &Load) {
  std::int64_t AgeMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Load.Age).count();
  std::uint64_t Age = AgeMs < 0 ? 0 : static_cast<std::uint64_t>(AgeMs);
  return writeRecord(Load.Backend.Value, Load.Run.Value, Load.Sequence,
                     Load.InFlight, Load.Queued, Load.Slots,
                     std::min(Age, MaxAgeMs));
}

void readLoad(field_reader &Reader, load_delta &Load) {
  Reader.id("backend", Load.Backend);
  Reader.version("run", Load.Run);
  Load.Sequence = Reader.number("sequence");
  Load.InFlight = Reader.number32("in_flight");
  Load.Queued = Reader.number32("queued");
  Load.Slots = Reader.number32("slots");
  Load.Age = std::chrono::milliseconds(
      static_cast<std::int64_t>(Reader.number("age_ms", MaxAgeMs)));
}

cbor_value writeLeaving(const leaving_fact &Fact) {
  return writeRecord(Fact.Backend.Value, Fact.Run.Value);
}

void readLeaving(field_reader &Reader, leaving_fact &Fact) {
  Reader.id("backend", Fact.Backend);
  Reader.version("run", Fact.Run);
}

cbor_value writeDemand(const workspace_demand &Demand) {
  return writeRecord(Demand.Workspace.Value, Demand.InFlight);
}

void readDemand(field_reader &Reader, workspace_demand &Demand) {
  Reader.id("workspace", Demand.Workspace);
  Demand.InFlight = Reader.number32("in_flight");
}

cbor_value writeSummary(const pool_summary &Summary) {
  return writeRecord(Summary.Zone.Value, Summary.Pool.Value, Summary.Slots,
                     Summary.InFlight, Summary.Backends, Summary.Sequence);
}

void readSummary(field_reader &Reader, pool_summary &Summary) {
  Reader.id("zone", Summary.Zone);
  Reader.id("pool", Summary.Pool);
  Summary.Slots = Reader.number32("slots");
  Summary.InFlight = Reader.number32("in_flight");
  Summary.Backends = Reader.number32("backends");
  Summary.Sequence = Reader.number("sequence");
}

cbor_value writeZoneDemand(const zone_demand &Demand) {
  return writeRecord(Demand.Zone.Value, Demand.Workspace.Value, Demand.InFlight,
                     Demand.Sequence);
}

void readZoneDemand(field_reader &Reader, zone_demand &Demand) {
  Reader.id("zone", Demand.Zone);
  Reader.id("workspace", Demand.Workspace);
  Demand.InFlight = Reader.number32("in_flight");
  Demand.Sequence = Reader.number("sequence");
}

cbor_value writeZone(const zone_report &Report) {
  return writeRecord(Report.Zone.Value, Report.Sequence, Report.LiveHosts,
                     Report.LowestConfig.Value, Report.LaggingHost.Value);
}

void readZone(field_reader &Reader, zone_report &Report) {
  Reader.id("zone", Report.Zone);
  Report.Sequence = Reader.number("sequence");
  Report.LiveHosts = Reader.number32("live_hosts");
  Reader.version("lowest_config", Report.LowestConfig);
  Reader.id("lagging", Report.LaggingHost);
}

cbor_value writeGossip(const gossip_payload &Gossip) {
  return writeRecord(writeList(Gossip.Members, writeMember),
                     writeList(Gossip.Loads, writeLoad),
                     writeList(Gossip.Leaving, writeLeaving),
                     writeList(Gossip.Demands, writeDemand),
                     writeList(Gossip.Summaries, writeSummary),
                     writeList(Gossip.ZoneDemands, writeZoneDemand),
                     writeList(Gossip.Zones, writeZone), Gossip.DemandsComplete,
                     Gossip.Config.Value, Gossip.HostList.Value);
}

void readGossip(field_reader &Reader, gossip_payload &Gossip) {
  Reader.list("members", Gossip.Members, MaxMemberUpdatesPerMessage,
              readMember);
  Reader.list("loads", Gossip.Loads, MaxLoadDeltasPerMessage, readLoad);
  Reader.list("leaving", Gossip.Leaving, MaxLeavingFactsPerMessage,
              readLeaving);
  Reader.list("demands", Gossip.Demands, MaxDemandsPerMessage, readDemand);
  Reader.list("summaries", Gossip.Summaries, MaxSummariesPerMessage,
              readSummary);
  Reader.list("zone_demands", Gossip.ZoneDemands, MaxZoneDemandsPerMessage,
              readZoneDemand);
  Reader.list("zones", Gossip.Zones, MaxZoneReportsPerMessage, readZone);
  Gossip.DemandsComplete = Reader.flag("demands_complete");
  Reader.version("config", Gossip.Config);
  Reader.version("host_list", Gossip.HostList);
}

cbor_value writeChange(const change_record &Record) { return write(Record); }

void readChange(field_reader &Reader, change_record &Record) {
  read(Reader, Record);
}

struct body_writer {
  cbor_value operator()(const probe &B) const {
    return writeRecord(B.Sequence, writeGossip(B.Gossip));
  }
  cbor_value operator()(const probe_ack &B) const {
    return writeRecord(B.Sequence, writeGossip(B.Gossip));
  }
  cbor_value operator()(const indirect_probe &B) const {
    return writeRecord(B.Sequence, B.Target.Value);
  }
  cbor_value operator()(const indirect_ack &B) const {
    return writeRecord(B.Sequence, B.Target.Value);
  }
  cbor_value operator()(const config_pull &B) const {
    return writeRecord(B.Have.Value);
  }
  cbor_value operator()(const config_push &B) const {
    return writeRecord(write(B.Config));
  }
  cbor_value operator()(const host_list_pull &B) const {
    return writeRecord(B.Have.Value);
  }
  cbor_value operator()(const host_list_push &B) const {
    return writeRecord(write(B.Hosts), B.Version.Value);
  }
  cbor_value operator()(const claim_query &B) const {
    return writeRecord(B.Sequence, B.Claim.Value, B.Attempt.Value);
  }
  cbor_value operator()(const claim_query_reply &B) const {
    cbor_value Output = B.Output ? cbor_value(*B.Output) : cbor_value();
    return writeRecord(B.Sequence, B.Claim.Value, B.Attempt.Value,
                       static_cast<unsigned>(B.Answer), std::move(Output));
  }
  cbor_value operator()(const rumor &B) const {
    return writeRecord(writeGossip(B.Gossip));
  }
  cbor_value operator()(const config_changes &B) const {
    return writeRecord(writeList(B.Changes, writeChange), B.Digest);
  }
  template <typename Body> cbor_value operator()(const Body &B) const {
    return writeBody(B);
  }
};

template <typename Body> struct number_of;
template <body_number Number>
using number_constant = std::integral_constant<body_number, Number>;
template <> struct number_of<probe> : number_constant<body_number::Probe> {};
template <>
struct number_of<probe_ack> : number_constant<body_number::ProbeAck> {};
template <>
struct number_of<indirect_probe> : number_constant<body_number::IndirectProbe> {
};
template <>
struct number_of<indirect_ack> : number_constant<body_number::IndirectAck> {};
template <>
struct number_of<config_pull> : number_constant<body_number::ConfigPull> {};
template <>
struct number_of<config_push> : number_constant<body_number::ConfigPush> {};
template <>
struct number_of<host_list_pull> : number_constant<body_number::HostListPull> {
};
template <>
struct number_of<host_list_push> : number_constant<body_number::HostListPush> {
};
template <>
struct number_of<claim_query> : number_constant<body_number::ClaimQuery> {};
template <>
struct number_of<claim_query_reply>
    : number_constant<body_number::ClaimQueryReply> {};
template <> struct number_of<rumor> : number_constant<body_number::Rumor> {};
template <>
struct number_of<config_changes> : number_constant<body_number::ConfigChanges> {
};
template <>
struct number_of<host_heartbeat> : number_constant<body_number::HostHeartbeat> {
};
template <>
struct number_of<operator_config_pull>
    : number_constant<body_number::OperatorConfigPull> {};
template <>
struct number_of<operator_config_push>
    : number_constant<body_number::OperatorConfigPush> {};
template <>
struct number_of<piece_request> : number_constant<body_number::PieceRequest> {};
template <>
struct number_of<pieces_accepted>
    : number_constant<body_number::PiecesAccepted> {};
template <>
struct number_of<pieces_completed>
    : number_constant<body_number::PiecesCompleted> {};
template <>
struct number_of<pieces_failed> : number_constant<body_number::PiecesFailed> {};
template <>
struct number_of<pieces_cancelled>
    : number_constant<body_number::PiecesCancelled> {};
template <>
struct number_of<results_released>
    : number_constant<body_number::ResultsReleased> {};
template <>
struct number_of<inputs_fetched> : number_constant<body_number::InputsFetched> {
};
template <>
struct number_of<demand_forecast>
    : number_constant<body_number::DemandForecast> {};
template <>
struct number_of<store_poll> : number_constant<body_number::StorePoll> {};
template <>
struct number_of<store_news> : number_constant<body_number::StoreNews> {};
template <>
struct number_of<crash_report> : number_constant<body_number::CrashReport> {};
template <>
struct number_of<part_rulings> : number_constant<body_number::PartRulings> {};
template <>
struct number_of<server_limit_list>
    : number_constant<body_number::ServerLimitList> {};
template <>
struct number_of<send_permit_request>
    : number_constant<body_number::SendPermitRequest> {};
template <>
struct number_of<send_permit_reply>
    : number_constant<body_number::SendPermitReply> {};
template <>
struct number_of<server_leaving> : number_constant<body_number::ServerLeaving> {
};
template <>
struct number_of<zone_orders> : number_constant<body_number::ZoneOrders> {};
template <>
struct number_of<engine_times> : number_constant<body_number::EngineTimes> {};
template <>
struct number_of<cold_server_list>
    : number_constant<body_number::ColdServerList> {};
template <>
struct number_of<prompt_room_request>
    : number_constant<body_number::PromptRoomRequest> {};
template <>
struct number_of<prompt_room_reply>
    : number_constant<body_number::PromptRoomReply> {};
template <>
struct number_of<prompt_read> : number_constant<body_number::PromptRead> {};

struct body_numbering {
  template <typename Body> body_number operator()(const Body &) const {
    return number_of<Body>::value;
  }
};

void readBody(field_reader &Reader, probe &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.record("gossip", Body.Gossip, readGossip);
}
void readBody(field_reader &Reader, probe_ack &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.record("gossip", Body.Gossip, readGossip);
}
void readBody(field_reader &Reader, indirect_probe &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.id("target", Body.Target);
}
void readBody(field_reader &Reader, indirect_ack &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.id("target", Body.Target);
}
void readBody(field_reader &Reader, config_pull &Body) {
  Reader.version("have", Body.Have);
}
void readConfig(field_reader &Reader, fleet_config &Config) {
  read(Reader, Config);
}
void readBody(field_reader &Reader, config_push &Body) {
  Reader.record("config", Body.Config, readConfig);
}
void readBody(field_reader &Reader, host_list_pull &Body) {
  Reader.version("have", Body.Have);
}
void readHosts(field_reader &Reader, host_list &Hosts) { read(Reader, Hosts); }
void readBody(field_reader &Reader, host_list_push &Body) {
  Reader.record("hosts", Body.Hosts, readHosts);
  Reader.version("version", Body.Version);
}
void readBody(field_reader &Reader, claim_query &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.id("claim", Body.Claim, MaxKeyBytes);
  Reader.version("attempt", Body.Attempt);
}
void readBody(field_reader &Reader, claim_query_reply &Body) {
  Body.Sequence = Reader.number("sequence");
  Reader.id("claim", Body.Claim, MaxKeyBytes);
  Reader.version("attempt", Body.Attempt);
  Body.Answer = Reader.choice("answer", claim_answer::NotMine);
  Reader.maybeText("output", Body.Output, MaxOutputBytes);
}
void readBody(field_reader &Reader, rumor &Body) {
  Reader.record("gossip", Body.Gossip, readGossip);
}
void readBody(field_reader &Reader, config_changes &Body) {
  Reader.list("changes", Body.Changes, MaxChangesPerMessage, readChange);
  Body.Digest = Reader.number("digest");
}

/// Reads the body if its number is that of Body.
template <typename Body>
bool readIf(field_reader &Reader, std::uint64_t Number, peer_body &Out) {
  if (Number != static_cast<std::uint64_t>(number_of<Body>::value))
    return false;
  Reader.record(
      "body", Out.emplace<Body>(),
      [](field_reader &Inner, Body &Value) { readBody(Inner, Value); });
  return true;
}

template <std::size_t... Index>
bool readNumbered(field_reader &Reader, std::uint64_t Number, peer_body &Out,
                  std::index_sequence<Index...>) {
  return (readIf<std::variant_alternative_t<Index, peer_body>>(Reader, Number,
                                                               Out) ||
          ...);
}

// Only bodies that carry a configuration, a host list or an output are large.
bool mayBeLarge(const peer_body &Body) {
  return std::holds_alternative<config_push>(Body) ||
         std::holds_alternative<config_changes>(Body) ||
         std::holds_alternative<host_list_push>(Body) ||
         std::holds_alternative<operator_config_push>(Body) ||
         std::holds_alternative<host_heartbeat>(Body) ||
         std::holds_alternative<store_news>(Body) ||
         std::holds_alternative<part_rulings>(Body) ||
         std::holds_alternative<server_limit_list>(Body) ||
         std::holds_alternative<zone_orders>(Body) ||
         std::holds_alternative<claim_query_reply>(Body);
}

} // namespace

std::vector<std::uint8_t> encodePeer(const peer_message &Message) {
  body_number Number = std::visit(body_numbering(), Message.Body);
  cbor_value Whole = writeRecord(
      static_cast<unsigned>(PeerFormatVersion), Message.Fleet.Value,
      Message.Sender.Host.Value, Message.Sender.Run.Value,
      static_cast<unsigned>(Number), std::visit(body_writer(), Message.Body));
  return cbor_value::to_cbor(Whole);
}

codec_result<peer_message> decodePeer(std::span<const std::uint8_t> Bytes) {
  if (Bytes.size() > MaxPeerMessageBytes)
    return codec_error{codec_problem::TooLarge, "message"};
  if (std::optional<codec_error> Error = checkCbor(Bytes))
    return *Error;
  cbor_value Whole =
      cbor_value::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (Whole.is_discarded())
    return codec_error{codec_problem::Malformed, "message"};

  decode_errors Errors;
  field_reader Reader(Whole, nullptr, "message", Errors);
  std::uint64_t Version = Reader.number("format");
  if (!Errors.first() && Version != PeerFormatVersion)
    return codec_error{codec_problem::UnknownVersion, "message.format"};
  peer_message Message;
  Reader.id("fleet", Message.Fleet);
  Reader.id("host", Message.Sender.Host);
  Reader.version("run", Message.Sender.Run);
  std::uint64_t Number = Reader.number("body_number");
  constexpr std::size_t Bodies = std::variant_size_v<peer_body>;
  if (!Errors.first() && !readNumbered(Reader, Number, Message.Body,
                                       std::make_index_sequence<Bodies>()))
    return codec_error{codec_problem::OutOfRange, "message.body_number"};
  Reader.end();
  if (Errors.first())
    return *Errors.first();
  if (Bytes.size() > MaxSmallPeerMessageBytes && !mayBeLarge(Message.Body))
    return codec_error{codec_problem::TooLarge, "message"};
  return Message;
}

} // namespace jasminecroft
