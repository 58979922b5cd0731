// Queue of a pool of batching backend servers. One entry host owns the queue on
// behalf of all hosts: these servers are only efficient with full calls, and a
// single host has too few pieces to fill one.
#pragma once

#include "jasminecroft/core/serving/backend_directory.h"
#include "jasminecroft/core/serving/batch_plan.h"
#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/serving/fair_shares.h"
#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/queue_order.h"
#include "jasminecroft/core/serving/retry_budget.h"
#include "jasminecroft/core/serving/way_plan.h"
#include "jasminecroft/core/stored_objects.h"

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// Queues of at least this many jobs are ordered less often.
inline constexpr std::size_t LongQueue = 24;

using batch_id = strong_number<struct batch_tag>;

/// Reasons why a whole batch has no results.
enum class batch_failure {
  /// No byte of the call left this host.
  NotConnected,
  /// The server refused the call without executing any of it.
  Refused,
  /// The server is shutting down or is not the expected one.
  Gone,
  /// The connection broke or the response was malformed.
  Broken,
  TimedOut,
};

std::string_view toText(batch_failure Failure);

/// Outcome of one batch call, for the log.
struct batch_report {
  backend_id Server;
  pool_id Pool;
  std::size_t Pieces = 0;
  core_duration Expected{0};
  core_duration Elapsed{0};
  /// Empty if the call was answered.
  std::optional<batch_failure> Failure;
  /// The call is still in flight, but its pieces are retried on other servers.
  bool Overdue = false;
  /// Share of the server's result capacity in use, in percent.
  std::uint32_t CapacityPercent = 0;
  /// Number of pieces waiting in the same queue.
  std::size_t Waiting = 0;
};

/// Callbacks by which the owner acts.
class batch_actions {
public:
  virtual ~batch_actions() = default;
  virtual void runBatch(batch_id Batch, call_permit Permit,
                        std::vector<batch_item> Items,
                        core_duration Timeout) = 0;
  virtual void freeResults(call_permit Permit,
                           std::vector<result_handle> Results) = 0;
  /// Requests a load report from a server; the answer goes to onServerLoad.
  virtual void readServer(call_permit Permit) = 0;
  virtual void onPiecesCompleted(const entry_host_id &Host,
                                 const piece_job &Job,
                                 std::vector<completed_piece> Pieces) = 0;
  virtual void onJobFailed(const entry_host_id &Host, piece_job_id Job,
                           piece_failure Failure) = 0;
  /// Every piece of the job is being executed and has fetched its inputs.
  virtual void onInputsFetched(const entry_host_id &Host, piece_job_id Job) = 0;
  virtual void onBatchEnded(const batch_report &Report) = 0;
};

/// Queues, batching and placement for all pools that this host owns. State is
/// soft: a host that loses its owner submits the same pieces to another one,
/// and two owners of one pool only make smaller batches.
class batch_owner {
public:
  batch_owner(batch_actions &Actions, backend_directory &Servers,
              call_admission &Admission, retry_budget &Budget)
      : Actions(Actions), Servers(Servers), Admission(Admission),
        Budget(Budget) {}

  /// Sets the batching rules of all pools.
  void configure(const std::map<pool_id, serving_pool> &Pools);

  /// Queues a job and returns the expected queue wait of its pieces.
  queue_wait submit(const host_run &Host, const piece_job &Job, core_time Now);
  /// A server may admit calls that waited for a permit.
  void onPermit() { Changed = true; }
  /// Removes a job and frees its results, including those still in flight.
  void cancel(const host_run &Host, piece_job_id Job, core_time Now);
  /// Frees results, including those produced for an earlier owner.
  void release(const std::vector<result_handle> &Results, core_time Now);
  /// Records the pieces that Host expects to submit; replaces its earlier
  /// value.
  void onDemandForecast(const entry_host_id &Host, const pool_id &Pool,
                        const zone_id &Zone,
                        const by_urgency<std::uint32_t> &Pieces, core_time Now);
  /// Fails jobs of queues for which IsOwn returns false, so that their hosts
  /// submit them to the new owner. Jobs with a piece in a call are kept.
  void failUnownedJobs(
      const std::function<bool(const pool_id &, const zone_id &)> &IsOwn,
      core_time Now);

  void onBatchAnswered(batch_id Batch,
                       const std::vector<batch_item_result> &Results,
                       core_time Now);
  void onBatchFailed(batch_id Batch, batch_failure Failure, core_time Now);
  /// Load is empty if the server did not report it.
  void onServerLoad(const backend_id &Server,
                    const std::optional<pieces_load> &Load, core_time Now);

  /// Dispatches batches and runs due timers; called after each event and at
  /// nextWakeup.
  void dispatch(core_time Now);
  std::optional<core_time> nextWakeup() const;

  /// Returns the expected queue wait of a job submitted now.
  queue_wait expectedWait(const pool_id &Pool, const zone_id &Zone,
                          core_time Now);
  std::size_t waitingPieces(const pool_id &Pool, const zone_id &Zone) const;
  /// Returns true if no job is queued or in progress. Calls whose results no
  /// job needs may still be in flight.
  bool idle() const { return Jobs.empty(); }
  /// Total calls and pieces started.
  std::uint64_t batchesStarted() const { return LastBatch; }
  std::uint64_t piecesStarted() const { return Pieces; }

private:
  using job_key = std::pair<host_run, piece_job_id>;

  struct job_state {
    piece_job Job;
    core_time Arrived;
    core_time Deadline;
    core_time StartBy;
    /// Pieces not yet in a batch, in order.
    std::deque<std::uint32_t> Waiting;
    /// Number of pieces without a result.
    std::size_t Missing = 0;
    /// Number of pieces in calls that have fetched their inputs, retries
    /// included.
    std::size_t Fetched = 0;
    /// Servers that failed to execute a piece of the job.
    std::set<backend_id> FailedServers;
    std::vector<completed_piece> Completed;
  };

  /// Jobs with waiting pieces for the servers of a pool, or for those of the
  /// pool in one zone.
  struct queue_state {
    std::vector<job_key> Jobs;
    /// Moving average of the size of calls that left pieces waiting, that is,
    /// the size that the servers' result capacity allows; 0 until the first
    /// one.
    double FullCall = 0;
    /// Moving average of the expected call time, in microseconds; 0 if unknown.
    double CallMicros = 0;
    struct forecast {
      by_urgency<std::uint32_t> Pieces{};
      core_time At;
    };
    std::map<entry_host_id, forecast> Forecasts;
    by_urgency<fair_shares> Shares;
    /// Expected wait as last computed.
    queue_wait Wait;
    core_time WaitAt;
  };
  struct queue_key {
    pool_id Pool;
    /// Empty for all zones.
    zone_id Zone;
    std::strong_ordering operator<=>(const queue_key &) const = default;
  };

  struct batch_piece {
    job_key Job;
    std::uint32_t Piece = 0;
    /// The piece was queued again because the call is overdue.
    bool Requeued = false;
  };

  struct batch_state {
    queue_key Queue;
    backend_entry Server;
    std::vector<batch_piece> Pieces;
    std::uint64_t Bytes = 0;
    core_time Started;
    core_duration Expected{0};
    bool Overdue = false;
    core_time InputsFetchedAt;
    /// onInputsFetched was called, or is skipped because the fetch time is
    /// unknown: the hosts then learn of it from the results.
    bool FetchReported = false;
    core_time overdueAt() const;
  };

  /// State of one server as far as this owner knows it.
  struct tracked_server {
    /// The batch in flight.
    std::optional<batch_id> Running;
    core_time FreeAt;
    /// Moving average of the ratio of actual to expected call time.
    double Slowness = 1;
    core_time SlownessAt;
    /// Bytes of results that are stored or being produced.
    std::uint64_t UsedBytes = 0;
    std::uint64_t CapacityBytes = 0;
    /// Earliest time of the next batch.
    core_time BlockedUntil;
    /// Time of the last call answered within the expected time: no other host's
    /// call was queued ahead of it.
    core_time UncontendedAt;
    std::vector<result_handle> PendingFrees;
    core_time FlushAt;
    /// Free result capacity is known until this time. After it, and when a
    /// piece finds no capacity, the server is queried: other hosts may have
    /// used it.
    core_time LoadKnownUntil;
    std::optional<core_time> LoadQueriedAt;
    /// Bytes used by results of other hosts' calls at the last load report.
    std::uint64_t ExternalBytes = 0;
    core_time ExternalBytesAt;
  };

  struct stored_result {
    backend_id Server;
    std::uint64_t Bytes = 0;
    core_time Expires;
  };

  static queue_key queueOf(const piece_job &Job);
  std::vector<job_key> &queue(const queue_key &Key) { return Queues[Key].Jobs; }
  void dispatchQueue(const queue_key &Key, bool Scans, core_time Now);
  bool isEmptied(const queue_key &Key, core_time Now);
  void failUnservedJobs(const queue_key &Key, core_time Now);
  wait_estimator makeWaitEstimator(const queue_key &Key,
                                   const std::vector<planned_server> &Servers);
  std::vector<waiting_job> waitingJobs(const queue_key &Key, core_time Now);
  std::vector<over_share> findOverShare(const queue_key &Key,
                                        const std::vector<waiting_job> &Waiting,
                                        const queue_order &Order,
                                        core_time Now);
  void shedLateJobs(const queue_key &Key,
                    const std::vector<waiting_job> &Waiting,
                    const queue_order &Order, wait_estimator &Estimator,
                    core_time Now);
  std::vector<planned_server> planServers(const queue_key &Key, core_time Now);
  void queryLoads(const queue_key &Key, core_time Now);
  std::uint64_t externalBytes(const tracked_server &Tracked,
                              core_time Now) const;
  void startBatch(const queue_key &Key, call_permit Permit, double Slowness,
                  std::vector<batch_piece> Pieces, core_time Now);
  void handleResult(const batch_state &Batch, const batch_piece &Piece,
                    const batch_item_result &Result, core_time Now);
  void recordResult(const batch_state &Batch, const result_handle &Result,
                    std::uint64_t Bytes, core_time Now);
  void retryPieces(batch_state &Batch, bool ServerFault, bool Charged,
                   core_time Now);
  void requeue(const batch_piece &Piece);
  void failJob(const job_key &Key, piece_failure Failure, core_time Now);
  void removeJob(const job_key &Key, core_time Now);
  void dropOtherRuns(const host_run &Host, core_time Now);
  void queueFree(const backend_id &Server, const result_handle &Result,
                 core_time Now);
  void flushFrees(const backend_id &Id, tracked_server &Tracked, core_time Now);
  void expireResults(core_time Now);
  void checkOverdue(core_time Now);
  void reportFetched(core_time Now);
  double slowness(const tracked_server &Tracked, core_time Now) const;
  void updateSlowness(const batch_state &Batch, core_time Now);
  void reportBatch(const batch_state &Batch,
                   std::optional<batch_failure> Failure, core_time Now);

  batch_actions &Actions;
  backend_directory &Servers;
  call_admission &Admission;
  retry_budget &Budget;
  std::map<pool_id, batch_rules> Pools;
  std::map<queue_key, queue_state> Queues;
  std::map<job_key, job_state> Jobs;
  std::map<batch_id, batch_state> Batches;
  std::map<backend_id, tracked_server> TrackedServers;
  using result_table = std::map<result_handle, stored_result>;
  result_table StoredResults;
  /// An event occurred that may allow calls to start or jobs to end.
  bool Changed = false;
  /// Time of the next scan of the waiting jobs even without an event, as
  /// deadlines pass and backoffs end.
  core_time NextScan;
  core_time NextExpiry;
  std::uint64_t LastBatch = 0;
  std::uint64_t Pieces = 0;
};

} // namespace jasminecroft
