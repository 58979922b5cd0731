// Fields of the batching messages, in order.
#include "peer_codec_pieces.h"

namespace jasminecroft::detail {

namespace {

constexpr std::size_t MaxHosts = 512;
constexpr std::size_t MaxConfigTextBytes = 1'048'576;
constexpr std::size_t MaxPiecesPerJob = 256;
constexpr std::size_t MaxInputsPerJob = 512;
constexpr std::size_t MaxResults = 1'024;
constexpr std::size_t MaxBackends = 4'096;
constexpr std::size_t MaxOverShare = 256;

cbor_value writeHost(const batching_host &Host) {
  return writeRecord(Host.Host.Value, Host.Zone.Value, Host.Address.Value,
                     Host.Capacity);
}

void readHost(field_reader &Reader, batching_host &Host) {
  Reader.id("host", Host.Host);
  Reader.id("zone", Host.Zone);
  Reader.id("address", Host.Address);
  Host.Capacity = Reader.number32("capacity");
}

cbor_value writeHandle(const result_handle &Result) {
  return writeRecord(Result.Value);
}

void readHandle(field_reader &Reader, result_handle &Result) {
  Reader.id("result", Result);
}

cbor_value writeNumber(std::uint32_t Number) { return writeRecord(Number); }

void readNumber(field_reader &Reader, std::uint32_t &Number) {
  Number = Reader.number32("number");
}

cbor_value writeTimes(const by_urgency<core_duration> &Times) {
  return writeRecord(Times[0].count(), Times[1].count(), Times[2].count());
}

void readTimes(field_reader &Reader, by_urgency<core_duration> &Times) {
  for (core_duration &Time : Times)
    Time = core_duration(Reader.signedNumber("time"));
}

void readCounts(field_reader &Reader, by_urgency<std::uint32_t> &Counts) {
  for (std::uint32_t &Count : Counts)
    Count = Reader.number32("count");
}

cbor_value writeOverShare(const over_share &Entry) {
  return writeRecord(Entry.Workspace.Value, Entry.Rank);
}

void readOverShare(field_reader &Reader, over_share &Entry) {
  Reader.id("workspace", Entry.Workspace);
  Entry.Rank = Reader.number32("rank");
}

cbor_value writeMade(const completed_piece &Piece) {
  return writeRecord(Piece.Piece, Piece.Result.Value, Piece.Zone.Value);
}

void readMade(field_reader &Reader, completed_piece &Piece) {
  Piece.Piece = Reader.number32("piece");
  Reader.id("result", Piece.Result);
  Reader.id("zone", Piece.Zone);
}

// A key, or null and the inputs.
cbor_value writeSource(const piece_source &Source) {
  if (const piece_key *Key = std::get_if<piece_key>(&Source))
    return writeRecord(Key->Value);
  return writeRecord(nullptr, writeList(resultsOf(Source), writeHandle));
}

void readSource(field_reader &Reader, piece_source &Source) {
  std::optional<piece_key> Key;
  Reader.maybeId("key", Key);
  if (Key) {
    Source = std::move(*Key);
    return;
  }
  Reader.list("inputs", Source.emplace<piece_inputs>().Results, MaxInputsPerJob,
              readHandle);
}

cbor_value writeJob(const piece_job &Job) {
  return writeRecord(Job.Job.Value, Job.Request.Value, Job.Pool.Value,
                     Job.Stage, writeList(Job.Pieces, writeNumber),
                     writeSource(Job.Source), Job.DeadlineIn.count(),
                     Job.StartBy.count(), Job.Priority, Job.Workspace.Value,
                     Job.ResultBytes, Job.NearZone.Value, Job.InputZone.Value,
                     Job.InputBytes, Job.QueueZone.Value);
}

void readJob(field_reader &Reader, piece_job &Job) {
  Reader.version("job", Job.Job);
  Reader.id("request", Job.Request);
  Reader.id("pool", Job.Pool);
  Job.Stage = Reader.number32("stage");
  Reader.list("pieces", Job.Pieces, MaxPiecesPerJob, readNumber);
  Reader.record("source", Job.Source, readSource);
  Job.DeadlineIn = core_duration(Reader.signedNumber("deadline_in"));
  Job.StartBy = core_duration(Reader.signedNumber("start_by"));
  Job.Priority = Reader.number32("priority");
  Reader.id("workspace", Job.Workspace);
  Job.ResultBytes = Reader.number("result_bytes");
  Reader.id("near_zone", Job.NearZone);
  Reader.id("input_zone", Job.InputZone);
  Job.InputBytes = Reader.number("input_bytes");
  Reader.id("queue_zone", Job.QueueZone);
}

cbor_value writeVersion(const object_version &Version) {
  return writeRecord(Version.Era.Value, Version.Value);
}

void readVersion(field_reader &Reader, object_version &Version) {
  Reader.version("era", Version.Era);
  Version.Value = Reader.number("number");
}

cbor_value writeNews(const backend_news &Entry) {
  return writeRecord(Entry.Id.Value, writeVersion(Entry.Revision), Entry.Listed,
                     Entry.Pool.Value, Entry.Address.Value, Entry.Zone.Value,
                     Entry.Draining, Entry.Run.Value, Entry.ColdLeft.count());
}

void readNews(field_reader &Reader, backend_news &Entry) {
  Reader.id("id", Entry.Id);
  Reader.record("revision", Entry.Revision, readVersion);
  Entry.Listed = Reader.flag("listed");
  Reader.id("pool", Entry.Pool);
  Reader.id("address", Entry.Address);
  Reader.id("zone", Entry.Zone);
  Entry.Draining = Reader.flag("draining");
  Reader.version("run", Entry.Run);
  Entry.ColdLeft = core_duration(Reader.signedNumber("cold_left"));
}

cbor_value writeCandidate(const crash_candidate &Candidate) {
  return writeRecord(Candidate.Part.Value, Candidate.ServedBefore);
}

void readCandidate(field_reader &Reader, crash_candidate &Candidate) {
  Reader.version("part", Candidate.Part);
  Candidate.ServedBefore = Reader.flag("served_before");
}

cbor_value writeRuling(const part_ruling &Ruling) {
  return writeRecord(Ruling.Part.Value, Ruling.Round,
                     static_cast<unsigned>(Ruling.Standing), Ruling.Trials,
                     Ruling.Remaining.count());
}

void readRuling(field_reader &Reader, part_ruling &Ruling) {
  Reader.version("part", Ruling.Part);
  Ruling.Round = Reader.number32("round");
  Ruling.Standing = Reader.choice("standing", part_standing::Cleared);
  Ruling.Trials = Reader.number32("trials");
  Ruling.Remaining = core_duration(Reader.signedNumber("remaining"));
}

cbor_value writeOrder(const zone_order &Order) {
  return writeRecord(Order.Zone.Value, writeVersion(Order.Revision),
                     Order.Emptied);
}

void readOrder(field_reader &Reader, zone_order &Order) {
  Reader.id("zone", Order.Zone);
  Reader.record("revision", Order.Revision, readVersion);
  Order.Emptied = Reader.flag("emptied");
}

cbor_value writeLimit(const server_limit_news &Limit) {
  return writeRecord(Limit.Server.Value, Limit.Run.Value,
                     Limit.MicrosPerSecond.has_value(),
                     Limit.MicrosPerSecond.value_or(0), Limit.Age.count(),
                     Limit.ChangeAge.count());
}

void readLimit(field_reader &Reader, server_limit_news &Limit) {
  Reader.id("server", Limit.Server);
  Reader.version("run", Limit.Run);
  bool Limited = Reader.flag("limited");
  std::uint64_t Micros = Reader.number("micros_per_second");
  if (Limited)
    Limit.MicrosPerSecond = Micros;
  Limit.Age = core_duration(Reader.signedNumber("age"));
  Limit.ChangeAge = core_duration(Reader.signedNumber("change_age"));
}

cbor_value writeTime(const engine_time &Time) {
  return writeRecord(Time.Server.Value, Time.Run.Value, Time.Mean.count(),
                     Time.Streams);
}

void readTime(field_reader &Reader, engine_time &Time) {
  Reader.id("server", Time.Server);
  Reader.version("run", Time.Run);
  Time.Mean = core_duration(Reader.signedNumber("mean"));
  Time.Streams = Reader.number32("streams");
}

cbor_value writeCold(const cold_server_news &Server) {
  return writeRecord(Server.Server.Value, Server.Run.Value,
                     Server.Left.count());
}

void readCold(field_reader &Reader, cold_server_news &Server) {
  Reader.id("server", Server.Server);
  Reader.version("run", Server.Run);
  Server.Left = core_duration(Reader.signedNumber("left"));
}

cbor_value writePromptCandidate(const prompt_candidate &Candidate) {
  return writeRecord(Candidate.Server.Value, Candidate.Tokens);
}

void readPromptCandidate(field_reader &Reader, prompt_candidate &Candidate) {
  Reader.id("server", Candidate.Server);
  Candidate.Tokens = Reader.number("tokens");
}

} // namespace

cbor_value writeBody(const host_heartbeat &Body) {
  return writeRecord(writeHost(Body.Self), Body.WantsReply, Body.Leaving,
                     Body.Config.Value, writeVersion(Body.Backends),
                     writeList(Body.Others, writeHost));
}
void readBody(field_reader &Reader, host_heartbeat &Body) {
  Reader.record("self", Body.Self, readHost);
  Body.WantsReply = Reader.flag("wants_reply");
  Body.Leaving = Reader.flag("leaving");
  Reader.version("config", Body.Config);
  Reader.record("backends", Body.Backends, readVersion);
  Reader.list("others", Body.Others, MaxHosts, readHost);
}

cbor_value writeBody(const operator_config_pull &Body) {
  return writeRecord(Body.Have.Value);
}
void readBody(field_reader &Reader, operator_config_pull &Body) {
  Reader.version("have", Body.Have);
}

cbor_value writeBody(const operator_config_push &Body) {
  return writeRecord(Body.Version.Value, Body.Text);
}
void readBody(field_reader &Reader, operator_config_push &Body) {
  Reader.version("version", Body.Version);
  Body.Text = Reader.text("text", MaxConfigTextBytes);
}

cbor_value writeBody(const store_poll &Body) {
  return writeRecord(Body.Config.Value, writeVersion(Body.Backends));
}
void readBody(field_reader &Reader, store_poll &Body) {
  Reader.version("config", Body.Config);
  Reader.record("backends", Body.Backends, readVersion);
}

cbor_value writeBody(const store_news &Body) {
  return writeRecord(Body.Current, Body.Config.Value, Body.Complete,
                     writeVersion(Body.From), writeVersion(Body.To),
                     writeList(Body.Backends, writeNews));
}
void readBody(field_reader &Reader, store_news &Body) {
  Body.Current = Reader.flag("current");
  Reader.version("config", Body.Config);
  Body.Complete = Reader.flag("complete");
  Reader.record("from", Body.From, readVersion);
  Reader.record("to", Body.To, readVersion);
  Reader.list("backends", Body.Backends, MaxBackends, readNews);
}

cbor_value writeBody(const crash_report &Body) {
  return writeRecord(Body.Server.Value, Body.Run.Value, Body.HeadArrived,
                     writeList(Body.Parts, writeCandidate));
}
void readBody(field_reader &Reader, crash_report &Body) {
  Reader.id("server", Body.Server);
  Reader.version("run", Body.Run);
  Body.HeadArrived = Reader.flag("head_arrived");
  Reader.list("parts", Body.Parts, MaxPartsPerReport, readCandidate);
}

cbor_value writeBody(const part_rulings &Body) {
  return writeRecord(writeList(Body.Rulings, writeRuling));
}
void readBody(field_reader &Reader, part_rulings &Body) {
  Reader.list("rulings", Body.Rulings, MaxRulingsPerMessage, readRuling);
}

cbor_value writeBody(const server_limit_list &Body) {
  return writeRecord(writeList(Body.Limits, writeLimit));
}
void readBody(field_reader &Reader, server_limit_list &Body) {
  Reader.list("limits", Body.Limits, MaxLimitsPerMessage, readLimit);
}

cbor_value writeBody(const send_permit_request &Body) {
  return writeRecord(writeLimit(Body.Limit), Body.Request.Value);
}
void readBody(field_reader &Reader, send_permit_request &Body) {
  Reader.record("limit", Body.Limit, readLimit);
  Reader.version("request", Body.Request);
}

cbor_value writeBody(const server_leaving &Body) {
  return writeRecord(Body.Server.Value, Body.Run.Value);
}
void readBody(field_reader &Reader, server_leaving &Body) {
  Reader.id("server", Body.Server);
  Reader.version("run", Body.Run);
}

cbor_value writeBody(const zone_orders &Body) {
  return writeRecord(writeList(Body.Orders, writeOrder));
}
void readBody(field_reader &Reader, zone_orders &Body) {
  Reader.list("orders", Body.Orders, MaxZoneOrdersPerMessage, readOrder);
}

cbor_value writeBody(const engine_times &Body) {
  return writeRecord(writeList(Body.Seen, writeTime),
                     writeList(Body.Known, writeTime));
}
void readBody(field_reader &Reader, engine_times &Body) {
  Reader.list("seen", Body.Seen, MaxEngineTimes, readTime);
  Reader.list("known", Body.Known, MaxEngineTimes, readTime);
}

cbor_value writeBody(const cold_server_list &Body) {
  return writeRecord(writeList(Body.Servers, writeCold));
}
void readBody(field_reader &Reader, cold_server_list &Body) {
  Reader.list("servers", Body.Servers, MaxColdServersPerMessage, readCold);
}

cbor_value writeBody(const prompt_room_request &Body) {
  return writeRecord(Body.Request.Value, Body.Attempt, Body.Pool.Value,
                     writeList(Body.Candidates, writePromptCandidate),
                     Body.HoldAtMost.count());
}
void readBody(field_reader &Reader, prompt_room_request &Body) {
  Reader.version("request", Body.Request);
  Body.Attempt = Reader.number32("attempt");
  Reader.id("pool", Body.Pool);
  Reader.list("candidates", Body.Candidates, MaxPromptCandidates,
              readPromptCandidate);
  Body.HoldAtMost = core_duration(Reader.signedNumber("hold_at_most"));
}

cbor_value writeBody(const prompt_room_reply &Body) {
  return writeRecord(Body.Request.Value, Body.Attempt, Body.Server.Value,
                     Body.In.count());
}
void readBody(field_reader &Reader, prompt_room_reply &Body) {
  Reader.version("request", Body.Request);
  Body.Attempt = Reader.number32("attempt");
  Reader.id("server", Body.Server);
  Body.In = core_duration(Reader.signedNumber("in"));
}

cbor_value writeBody(const prompt_read &Body) {
  return writeRecord(Body.Request.Value, Body.Attempt);
}
void readBody(field_reader &Reader, prompt_read &Body) {
  Reader.version("request", Body.Request);
  Body.Attempt = Reader.number32("attempt");
}

cbor_value writeBody(const send_permit_reply &Body) {
  return writeRecord(Body.Server.Value, Body.Request.Value, Body.Granted,
                     Body.RetryIn.count());
}
void readBody(field_reader &Reader, send_permit_reply &Body) {
  Reader.id("server", Body.Server);
  Reader.version("request", Body.Request);
  Body.Granted = Reader.flag("granted");
  Body.RetryIn = core_duration(Reader.signedNumber("retry_in"));
}

cbor_value writeBody(const piece_request &Body) {
  return writeRecord(writeJob(Body.Job));
}
void readBody(field_reader &Reader, piece_request &Body) {
  Reader.record("job", Body.Job, readJob);
}

cbor_value writeBody(const pieces_accepted &Body) {
  return writeRecord(Body.Job.Value, writeTimes(Body.Wait.OnTime),
                     writeTimes(Body.Wait.Late), Body.Wait.Call.count(),
                     writeTimes(Body.Wait.Planned),
                     writeList(Body.Wait.OverShare, writeOverShare));
}
void readBody(field_reader &Reader, pieces_accepted &Body) {
  Reader.version("job", Body.Job);
  Reader.record("wait_on_time", Body.Wait.OnTime, readTimes);
  Reader.record("wait_late", Body.Wait.Late, readTimes);
  Body.Wait.Call = core_duration(Reader.signedNumber("call"));
  Reader.record("planned", Body.Wait.Planned, readTimes);
  Reader.list("over_share", Body.Wait.OverShare, MaxOverShare, readOverShare);
}

cbor_value writeBody(const pieces_completed &Body) {
  return writeRecord(Body.Job.Value, Body.Request.Value,
                     writeList(Body.Pieces, writeMade));
}
void readBody(field_reader &Reader, pieces_completed &Body) {
  Reader.version("job", Body.Job);
  Reader.id("request", Body.Request);
  Reader.list("pieces", Body.Pieces, MaxPiecesPerJob, readMade);
}

cbor_value writeBody(const pieces_failed &Body) {
  return writeRecord(Body.Job.Value, static_cast<unsigned>(Body.Failure));
}
void readBody(field_reader &Reader, pieces_failed &Body) {
  Reader.version("job", Body.Job);
  Body.Failure = Reader.choice("failure", piece_failure::OwnerChanged);
}

cbor_value writeBody(const pieces_cancelled &Body) {
  return writeRecord(Body.Job.Value);
}
void readBody(field_reader &Reader, pieces_cancelled &Body) {
  Reader.version("job", Body.Job);
}

cbor_value writeBody(const results_released &Body) {
  return writeRecord(writeList(Body.Results, writeHandle));
}
void readBody(field_reader &Reader, results_released &Body) {
  Reader.list("results", Body.Results, MaxResults, readHandle);
}

cbor_value writeBody(const inputs_fetched &Body) {
  return writeRecord(Body.Job.Value);
}
void readBody(field_reader &Reader, inputs_fetched &Body) {
  Reader.version("job", Body.Job);
}

cbor_value writeBody(const demand_forecast &Body) {
  return writeRecord(
      Body.Pool.Value, Body.QueueZone.Value,
      writeRecord(Body.Pieces[0], Body.Pieces[1], Body.Pieces[2]));
}
void readBody(field_reader &Reader, demand_forecast &Body) {
  Reader.id("pool", Body.Pool);
  Reader.id("queue_zone", Body.QueueZone);
  Reader.record("pieces", Body.Pieces, readCounts);
}

} // namespace jasminecroft::detail
