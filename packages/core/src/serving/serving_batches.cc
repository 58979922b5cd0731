// Calls to backend servers on behalf of the queues that this host owns: pieces,
// freed results and questions for a load.
#include "serving_state.h"

namespace jasminecroft {

using namespace detail;
using std::chrono::milliseconds;

void serving_impl::runBatch(batch_id Batch, const backend_entry &Server,
                            std::vector<batch_item> Items,
                            core_duration Timeout) {
  call_id Id(++LastCall);
  Calls[Id] = {call_kind::Pieces, request_id(), Batch, Server, Now};
  Actions.runPieces(Id, Server, std::move(Items), Timeout);
}

void serving_impl::onBatchEnded(const batch_report &Report) {
  auto InMs = [](core_duration Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time).count());
  };
  bool Succeeded = !Report.Failure && !Report.Overdue;
  log(Report.Overdue ? event_number::BatchOverdue : event_number::BatchEnded,
      Succeeded ? event_severity::Info : event_severity::Warning,
      Report.Overdue
          ? "batch is overdue; its pieces are retried on other servers"
      : Succeeded ? "batch completed"
                  : "batch failed",
      {{"server", Report.Server.Value},
       {"pool", Report.Pool.Value},
       {"pieces", std::to_string(Report.Pieces)},
       {"expected_ms", InMs(Report.Expected)},
       {"ms", InMs(Report.Elapsed)},
       {"room_percent", std::to_string(Report.CapacityPercent)},
       {"waiting", std::to_string(Report.Waiting)},
       {"failure",
        Report.Failure ? std::string(toText(*Report.Failure)) : ""}});
}

void serving_impl::freeResults(const backend_entry &Server,
                               std::vector<result_handle> Results) {
  Actions.freeResults(Server, std::move(Results));
}

void serving_impl::readServer(const backend_entry &Server) {
  Actions.readServer(Server);
}

void serving_impl::onPiecesAnswered(
    call_id Call, const std::vector<batch_item_result> &Results,
    const std::optional<backend_load> &Load, core_time) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Pieces)
    return;
  batch_id Batch = Found->second.Batch;
  if (Load)
    Servers.onLoad(Found->second.Server.Id, *Load, Now);
  Calls.erase(Found);
  Owner.onBatchAnswered(Batch, Results, Now);
}

void serving_impl::onPiecesRefused(call_id Call, bool WrongServer, core_time) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Pieces)
    return;
  batch_id Batch = Found->second.Batch;
  Calls.erase(Found);
  Owner.onBatchFailed(
      Batch, WrongServer ? batch_failure::Gone : batch_failure::Refused, Now);
}

} // namespace jasminecroft
