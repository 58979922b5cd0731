// Messages between entry hosts survive encoding, and damaged bytes are
// refused without harm.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/wire/peer_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace jasminecroft;

namespace {

std::string anyText(std::size_t Max) {
  std::size_t Length = *rc::gen::inRange<std::size_t>(0, Max + 1);
  return *rc::gen::container<std::string>(Length, rc::gen::arbitrary<char>());
}

template <typename Id> Id anyId() { return Id(anyText(12)); }
template <typename Number> Number anyNumber() {
  return Number(*rc::gen::arbitrary<std::uint64_t>());
}
std::uint32_t any32() { return *rc::gen::arbitrary<std::uint32_t>(); }
bool anyFlag() { return *rc::gen::arbitrary<bool>(); }
std::size_t below(std::size_t Limit) {
  return *rc::gen::inRange<std::size_t>(0, Limit);
}
wall_time anyTime() {
  return wall_time(std::chrono::milliseconds(*rc::gen::arbitrary<int>()));
}

template <typename Element, typename Make>
std::vector<Element> some(std::size_t Max, Make Maker) {
  std::vector<Element> Out(below(Max + 1));
  for (Element &E : Out)
    E = Maker();
  return Out;
}

member_update anyMember() {
  return {anyId<entry_host_id>(),
          anyNumber<incarnation>(),
          any32(),
          static_cast<member_state>(below(4)),
          anyId<zone_id>(),
          anyId<region_id>(),
          anyId<endpoint>(),
          anyNumber<config_version>()};
}
load_delta anyLoad() {
  return {anyId<backend_id>(),
          anyNumber<incarnation>(),
          anyNumber<incarnation>().Value,
          any32(),
          any32(),
          any32(),
          std::chrono::milliseconds(below(3'600'000))};
}
gossip_payload anyGossip() {
  gossip_payload Gossip;
  Gossip.Members = some<member_update>(MaxMemberUpdatesPerMessage, anyMember);
  Gossip.Loads = some<load_delta>(MaxLoadDeltasPerMessage, anyLoad);
  Gossip.Leaving = some<leaving_fact>(MaxLeavingFactsPerMessage, [] {
    return leaving_fact{anyId<backend_id>(), anyNumber<incarnation>()};
  });
  Gossip.Demands = some<workspace_demand>(MaxDemandsPerMessage, [] {
    return workspace_demand{anyId<workspace_id>(), any32()};
  });
  Gossip.Summaries = some<pool_summary>(MaxSummariesPerMessage, [] {
    return pool_summary{anyId<zone_id>(), anyId<pool_id>(), any32(),
                        any32(),          any32(),          any32()};
  });
  Gossip.ZoneDemands = some<zone_demand>(MaxZoneDemandsPerMessage, [] {
    return zone_demand{anyId<zone_id>(), anyId<workspace_id>(), any32(),
                       any32()};
  });
  Gossip.Zones = some<zone_report>(MaxZoneReportsPerMessage, [] {
    return zone_report{anyId<zone_id>(), any32(), any32(),
                       anyNumber<config_version>(), anyId<entry_host_id>()};
  });
  Gossip.DemandsComplete = anyFlag();
  Gossip.Config = anyNumber<config_version>();
  Gossip.HostList = anyNumber<object_version>();
  return Gossip;
}

pipeline_definition anyPipeline() {
  pipeline_definition Pipeline{anyId<pipeline_id>(), {}};
  Pipeline.Stages = some<stage_definition>(4, [] {
    return stage_definition{anyId<stage_id>(), anyId<pool_id>(), anyFlag()};
  });
  return Pipeline;
}
pool_definition anyPool() {
  return {anyId<pool_id>(), static_cast<pool_kind>(below(2)), any32(),
          anyFlag()};
}
template <typename Value, typename Make>
std::optional<Value> maybe(Make Maker) {
  if (anyFlag())
    return Maker();
  return std::nullopt;
}
config_exception anyException() {
  config_exception Exception;
  Exception.Id = anyId<exception_id>();
  Exception.Scope.Workspace = maybe<workspace_id>(anyId<workspace_id>);
  Exception.Scope.Pipeline = maybe<pipeline_id>(anyId<pipeline_id>);
  Exception.Scope.Pool = maybe<pool_id>(anyId<pool_id>);
  Exception.Scope.Zone = maybe<zone_id>(anyId<zone_id>);
  Exception.Key = static_cast<setting_key>(below(12));
  Exception.Value = *rc::gen::arbitrary<std::int64_t>();
  Exception.Reason = anyText(40);
  Exception.Author = anyId<operator_name>();
  Exception.MadeAt = anyTime();
  Exception.ReviewBy = anyTime();
  Exception.Since = anyNumber<config_version>();
  return Exception;
}
config_difference anyDifference() {
  switch (below(7)) {
  case 0:
    return default_set{static_cast<setting_key>(below(12)),
                       *rc::gen::arbitrary<std::int64_t>(),
                       *rc::gen::arbitrary<std::int64_t>()};
  case 1:
    return exception_added{anyException()};
  case 2:
    return exception_removed{anyException()};
  case 3:
    return pipeline_set{maybe<pipeline_definition>(anyPipeline),
                        maybe<pipeline_definition>(anyPipeline)};
  case 4:
    return pool_set{maybe<pool_definition>(anyPool),
                    maybe<pool_definition>(anyPool)};
  case 5:
    return workspace_added{anyId<workspace_id>()};
  default:
    return workspace_removed{anyId<workspace_id>()};
  }
}
change_record anyChange() {
  change_record Record;
  Record.Id = anyId<change_id>();
  Record.Author = anyId<operator_name>();
  Record.Reason = anyText(40);
  Record.Base = anyNumber<config_version>();
  Record.Result = anyNumber<config_version>();
  Record.MadeAt = anyTime();
  Record.Differences = some<config_difference>(4, anyDifference);
  return Record;
}
fleet_config anyConfig() {
  fleet_config Config;
  Config.Version = anyNumber<config_version>();
  Config.Fleet = anyId<fleet_id>();
  for (std::size_t I = below(4); I > 0; --I) {
    setting_key Key = static_cast<setting_key>(below(12));
    Config.Defaults[Key] = *rc::gen::arbitrary<std::int64_t>();
    Config.DefaultsSince[Key] = anyNumber<config_version>();
    pipeline_definition Pipeline = anyPipeline();
    Config.Pipelines[Pipeline.Name] = Pipeline;
    pool_definition Pool = anyPool();
    Config.Pools[Pool.Name] = Pool;
    Config.Workspaces.insert(anyId<workspace_id>());
  }
  Config.Exceptions = some<config_exception>(3, anyException);
  Config.Changes = some<change_record>(3, anyChange);
  return Config;
}
host_list anyHosts() {
  return {some<listed_host>(4, [] {
    return listed_host{static_cast<host_kind>(below(2)),
                       anyText(12),
                       anyId<zone_id>(),
                       anyId<region_id>(),
                       anyId<endpoint>(),
                       anyId<pool_id>(),
                       anyNumber<incarnation>(),
                       static_cast<host_state>(below(2))};
  })};
}

batching_host anyBatchingHost() {
  return {anyId<entry_host_id>(), anyId<zone_id>(), anyId<endpoint>(), any32()};
}
core_duration anyDuration() {
  return core_duration(*rc::gen::arbitrary<std::int64_t>());
}
by_urgency<core_duration> anyTimes() {
  return {anyDuration(), anyDuration(), anyDuration()};
}
piece_job anyJob() {
  piece_job Job;
  Job.Job = anyNumber<piece_job_id>();
  Job.Request = anyId<caller_request_id>();
  Job.Pool = anyId<pool_id>();
  Job.Stage = any32();
  Job.Pieces = some<std::uint32_t>(4, any32);
  if (any32() % 2 == 0)
    Job.Source = piece_key(anyText(20));
  else
    Job.Source = piece_inputs{
        some<result_handle>(4, [] { return anyId<result_handle>(); })};
  Job.DeadlineIn = anyDuration();
  Job.StartBy = anyDuration();
  Job.Priority = any32();
  Job.Workspace = anyId<workspace_id>();
  Job.ResultBytes = anyNumber<incarnation>().Value;
  Job.NearZone = anyId<zone_id>();
  Job.InputZone = anyId<zone_id>();
  Job.InputBytes = anyNumber<incarnation>().Value;
  Job.QueueZone = anyId<zone_id>();
  return Job;
}

server_limit_news anyLimit() {
  return {anyId<backend_id>(), anyNumber<incarnation>(),
          maybe<std::uint64_t>(any32), anyDuration(), anyDuration()};
}

engine_time anyEngineTime() {
  return {anyId<backend_id>(), anyNumber<incarnation>(), anyDuration(),
          any32()};
}

peer_body anyBody() {
  switch (below(37)) {
  case 0:
    return probe{anyNumber<incarnation>().Value, anyGossip()};
  case 1:
    return probe_ack{anyNumber<incarnation>().Value, anyGossip()};
  case 2:
    return indirect_probe{any32(), anyId<entry_host_id>()};
  case 3:
    return indirect_ack{any32(), anyId<entry_host_id>()};
  case 4:
    return config_pull{anyNumber<config_version>()};
  case 5:
    return config_push{anyConfig()};
  case 6:
    return host_list_pull{anyNumber<object_version>()};
  case 7:
    return host_list_push{anyHosts(), anyNumber<object_version>()};
  case 8:
    return claim_query{any32(), anyId<object_key>(), anyNumber<attempt_id>()};
  case 9:
    return claim_query_reply{any32(), anyId<object_key>(),
                             anyNumber<attempt_id>(),
                             static_cast<claim_answer>(below(5)),
                             maybe<std::string>([] { return anyText(30); })};
  case 10:
    return rumor{anyGossip()};
  case 11:
    return host_heartbeat{anyBatchingHost(),
                          below(2) == 0,
                          below(2) == 0,
                          anyNumber<config_version>(),
                          anyNumber<object_version>(),
                          some<batching_host>(3, anyBatchingHost)};
  case 12:
    return operator_config_pull{anyNumber<config_version>()};
  case 13:
    return operator_config_push{anyNumber<config_version>(), anyText(40)};
  case 14:
    return piece_request{anyJob()};
  case 15:
    return pieces_accepted{anyNumber<piece_job_id>(),
                           {anyTimes(), anyTimes(), anyDuration(), anyTimes(),
                            some<over_share>(4, [] {
                              return over_share{anyId<workspace_id>(), any32()};
                            })}};
  case 16:
    return pieces_completed{
        anyNumber<piece_job_id>(), anyId<caller_request_id>(),
        some<completed_piece>(4, [] {
          return completed_piece{any32(), anyId<result_handle>(),
                                 anyId<zone_id>()};
        })};
  case 17:
    return pieces_failed{anyNumber<piece_job_id>(),
                         static_cast<piece_failure>(below(4))};
  case 18:
    return pieces_cancelled{anyNumber<piece_job_id>()};
  case 19:
    return results_released{
        some<result_handle>(4, [] { return anyId<result_handle>(); })};
  case 20:
    return inputs_fetched{anyNumber<piece_job_id>()};
  case 21:
    return demand_forecast{
        anyId<pool_id>(), anyId<zone_id>(), {any32(), any32(), any32()}};
  case 22:
    return store_poll{anyNumber<config_version>(), anyNumber<object_version>()};
  case 23:
    return store_news{below(2) == 0,
                      anyNumber<config_version>(),
                      below(2) == 0,
                      anyNumber<object_version>(),
                      anyNumber<object_version>(),
                      some<backend_news>(3, [] {
                        return backend_news{
                            anyId<backend_id>(), anyNumber<object_version>(),
                            below(2) == 0,       anyId<pool_id>(),
                            anyId<endpoint>(),   anyId<zone_id>(),
                            below(2) == 0,       anyNumber<incarnation>(),
                            anyDuration()};
                      })};
  case 24:
    return crash_report{
        anyId<backend_id>(), anyNumber<incarnation>(), below(2) == 0,
        some<crash_candidate>(3, [] {
          return crash_candidate{anyNumber<prompt_part_id>(), below(2) == 0};
        })};
  case 25:
    return part_rulings{some<part_ruling>(3, [] {
      return part_ruling{anyNumber<prompt_part_id>(), any32(),
                         static_cast<part_standing>(below(3)), any32(),
                         anyDuration()};
    })};
  case 26:
    return server_limit_list{some<server_limit_news>(3, anyLimit)};
  case 27:
    return send_permit_request{anyLimit(), anyNumber<request_id>()};
  case 28:
    return send_permit_reply{anyId<backend_id>(), anyNumber<request_id>(),
                             below(2) == 0, anyDuration()};
  case 29:
    return server_leaving{anyId<backend_id>(), anyNumber<incarnation>()};
  case 30:
    return zone_orders{some<zone_order>(3, [] {
      return zone_order{anyId<zone_id>(), anyNumber<object_version>(),
                        below(2) == 0};
    })};
  case 31:
    return engine_times{some<engine_time>(3, anyEngineTime),
                        some<engine_time>(3, anyEngineTime)};
  case 32:
    return cold_server_list{some<cold_server_news>(3, [] {
      return cold_server_news{anyId<backend_id>(), anyNumber<incarnation>(),
                              anyDuration()};
    })};
  case 33:
    return prompt_room_request{
        anyNumber<request_id>(), any32(), anyId<pool_id>(),
        some<prompt_candidate>(
            MaxPromptCandidates,
            [] {
              return prompt_candidate{anyId<backend_id>(), any32()};
            }),
        anyDuration()};
  case 34:
    return prompt_room_reply{anyNumber<request_id>(), any32(),
                             anyId<backend_id>(), anyDuration()};
  case 35:
    return prompt_read{anyNumber<request_id>(), any32()};
  default:
    return config_changes{some<change_record>(3, anyChange),
                          anyNumber<incarnation>().Value};
  }
}
peer_message anyMessage() {
  return {anyId<fleet_id>(),
          {anyId<entry_host_id>(), anyNumber<incarnation>()},
          anyBody()};
}

peer_message pullMessage() {
  return {fleet_id("f"),
          {entry_host_id("e1"), incarnation(7)},
          config_pull{config_version(3)}};
}

codec_problem problemOf(std::span<const std::uint8_t> Bytes) {
  codec_result<peer_message> Result = decodePeer(Bytes);
  REQUIRE(std::holds_alternative<codec_error>(Result));
  return std::get<codec_error>(Result).Problem;
}

} // namespace

TEST_CASE("every message comes back as it was") {
  CHECK(rc::check("round trip", [] {
    peer_message Message = anyMessage();
    codec_result<peer_message> Result = decodePeer(encodePeer(Message));
    RC_ASSERT(std::holds_alternative<peer_message>(Result));
    RC_ASSERT(std::get<peer_message>(Result) == Message);
  }));
}

TEST_CASE("every truncated message is refused") {
  CHECK(rc::check("truncation", [] {
    std::vector<std::uint8_t> Bytes = encodePeer(anyMessage());
    Bytes.resize(below(Bytes.size()));
    RC_ASSERT(std::holds_alternative<codec_error>(decodePeer(Bytes)));
  }));
}

TEST_CASE("damaged bytes never do harm") {
  CHECK(rc::check("damage", [] {
    std::vector<std::uint8_t> Bytes = encodePeer(anyMessage());
    for (std::size_t I = 1 + below(4); I > 0; --I)
      Bytes[below(Bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    codec_result<peer_message> Result = decodePeer(Bytes);
    // What still decodes is a message within its bounds.
    if (const peer_message *Message = std::get_if<peer_message>(&Result))
      RC_ASSERT(decodePeer(encodePeer(*Message)) == Result);
  }));
}

TEST_CASE("arbitrary bytes are refused") {
  CHECK(rc::check("noise", [] {
    std::vector<std::uint8_t> Bytes =
        *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    RC_ASSERT(std::holds_alternative<codec_error>(decodePeer(Bytes)));
  }));
}

TEST_CASE("deep nesting and empty promises are refused before parsing") {
  std::vector<std::uint8_t> Deep(100'000, 0x81);
  CHECK(problemOf(Deep) == codec_problem::TooLarge);
  std::vector<std::uint8_t> Promise{0x9b, 0, 0, 0, 0xff, 0, 0, 0, 0};
  CHECK(problemOf(Promise) == codec_problem::Malformed);
  std::vector<std::uint8_t> Indefinite{0x9f, 0x01, 0xff};
  CHECK(problemOf(Indefinite) == codec_problem::Malformed);
}

TEST_CASE("oversized messages and overlong lists are refused") {
  std::vector<std::uint8_t> Huge(MaxPeerMessageBytes + 1, 0);
  CHECK(problemOf(Huge) == codec_problem::TooLarge);
  peer_message Message = pullMessage();
  probe Probe;
  Probe.Gossip.Members.resize(MaxMemberUpdatesPerMessage + 1);
  Message.Body = Probe;
  CHECK(problemOf(encodePeer(Message)) == codec_problem::OutOfRange);
  Probe.Gossip.Members.resize(1);
  Probe.Gossip.Members[0].Zone = zone_id(std::string(300, 'z'));
  Message.Body = Probe;
  codec_result<peer_message> Result = decodePeer(encodePeer(Message));
  REQUIRE(std::holds_alternative<codec_error>(Result));
  CHECK(
      std::get<codec_error>(Result) ==
      codec_error{codec_problem::TooLarge, "message.body.gossip.members.zone"});
}

TEST_CASE("another version, another body and surplus fields are refused") {
  std::vector<std::uint8_t> Bytes = encodePeer(pullMessage());
  REQUIRE(Bytes[1] == PeerFormatVersion);
  Bytes[1] = PeerFormatVersion + 1;
  CHECK(problemOf(Bytes) == codec_problem::UnknownVersion);
  Bytes = encodePeer(pullMessage());
  // No body has the number 0; 1 to 31 are all taken.
  Bytes[Bytes.size() - 3] = 0x00;
  CHECK(problemOf(Bytes) == codec_problem::OutOfRange);
  Bytes = encodePeer(pullMessage());
  Bytes[Bytes.size() - 2] = 0x82;
  Bytes.push_back(0x01);
  CHECK(problemOf(Bytes) == codec_problem::UnknownMember);
  Bytes = encodePeer(pullMessage());
  Bytes.push_back(0x01);
  CHECK(problemOf(Bytes) == codec_problem::Malformed);
}
