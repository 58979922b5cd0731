// The queue in front of a pool's batching backend servers. One entry host, the
// owner, keeps it for all hosts: only full calls use these servers well, and a
// single host has too few pieces to fill one.
#pragma once

#include "jasminecroft/core/serving/backend_directory.h"
#include "jasminecroft/core/serving/batch_plan.h"
#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/queue_order.h"
#include "jasminecroft/core/serving/retry_budget.h"
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

/// Requests that will be late, and for which nothing was made yet, are begun
/// and wait only while queues are shorter.
inline constexpr core_duration LongestLateWait = std::chrono::seconds(1);

using batch_id = strong_number<struct batch_tag>;

/// Why a whole batch has no results.
enum class batch_failure {
  /// No byte of the call left this host.
  NotConnected,
  /// The server did not take the call; nothing was made.
  Refused,
  /// The server is leaving or is not the expected one.
  Gone,
  /// The call broke or its answer was unreadable.
  Broken,
  TimedOut,
};

std::string_view toText(batch_failure Failure);

/// How a call of a batching server went, for the log.
struct batch_report {
  backend_id Server;
  pool_id Pool;
  std::size_t Pieces = 0;
  core_duration Expected{0};
  core_duration Took{0};
  /// Absent: the call was answered.
  std::optional<batch_failure> Failure;
  /// It is still in progress, but its pieces are made elsewhere as well.
  bool Overdue = false;
  /// Part of the server's room that results take up now, in percent.
  std::uint32_t RoomPercent = 0;
  /// Pieces that wait in the same queue now.
  std::size_t Waiting = 0;
};

/// What the owner has others do.
class batch_actions {
public:
  virtual ~batch_actions() = default;
  virtual void runBatch(batch_id Batch, const backend_entry &Server,
                        std::vector<batch_item> Items,
                        core_duration Timeout) = 0;
  virtual void freeResults(const backend_entry &Server,
                           std::vector<result_handle> Results) = 0;
  /// Asks a server for its load; see onServerLoad.
  virtual void readServer(const backend_entry &Server) = 0;
  virtual void onPiecesMade(const entry_host_id &Host, const piece_job &Job,
                            std::vector<made_piece> Pieces) = 0;
  virtual void onJobFailed(const entry_host_id &Host, piece_job_id Job,
                           piece_failure Failure) = 0;
  /// All pieces of the job are being made and have their inputs.
  virtual void onInputsFetched(const entry_host_id &Host, piece_job_id Job) = 0;
  virtual void onBatchEnded(const batch_report &Report) = 0;
};

/// Queues, batches and placement for all pools that this host owns. State is
/// soft: a host that loses it asks another owner for the same pieces again,
/// and two owners of one pool only make smaller batches.
class batch_owner {
public:
  batch_owner(batch_actions &Actions, backend_directory &Servers,
              retry_budget &Budget)
      : Actions(Actions), Servers(Servers), Budget(Budget) {}

  /// Takes the rules of all pools.
  void configure(const std::map<pool_id, serving_pool> &Pools);

  /// Queues a job and returns how long its pieces are expected to wait.
  queue_wait submit(const host_run &Host, const piece_job &Job, core_time Now);
  /// Forgets a job; its results are freed, also those that are being made.
  void cancel(const host_run &Host, piece_job_id Job, core_time Now);
  /// Frees results, also those that another owner had made.
  void release(const std::vector<result_handle> &Results, core_time Now);
  /// Takes how many pieces Host is about to ask for; replaces what it said.
  void onPlanned(const entry_host_id &Host, const pool_id &Pool,
                 const zone_id &Zone, const by_urgency<std::uint32_t> &Pieces,
                 core_time Now);
  /// Gives back jobs of queues that IsOwn denies, unless a piece of them is
  /// being made.
  void
  handOver(const std::function<bool(const pool_id &, const zone_id &)> &IsOwn,
           core_time Now);

  void onBatchAnswered(batch_id Batch,
                       const std::vector<batch_item_result> &Results,
                       core_time Now);
  void onBatchFailed(batch_id Batch, batch_failure Failure, core_time Now);
  /// Absent: the server did not say.
  void onServerLoad(const backend_id &Server,
                    const std::optional<pieces_load> &Load, core_time Now);

  /// Starts what can start; called after each change and at nextWakeup.
  void pump(core_time Now);
  std::optional<core_time> nextWakeup() const;

  /// How long a job that comes now is expected to wait.
  queue_wait expectedWait(const pool_id &Pool, const zone_id &Zone,
                          core_time Now);
  std::size_t waitingPieces(const pool_id &Pool, const zone_id &Zone) const;
  /// Whether nobody waits for anything. Calls of which nobody wants the results
  /// may still be in progress.
  bool idle() const { return Jobs.empty(); }
  /// Calls and pieces started so far.
  std::uint64_t batchesStarted() const { return LastBatch; }
  std::uint64_t piecesStarted() const { return Pieces; }

private:
  /// Numbers of jobs begin anew with each run of a host.
  using job_key = std::pair<host_run, piece_job_id>;

  struct job_state {
    piece_job Job;
    core_time Arrived;
    core_time Deadline;
    core_time StartBy;
    /// Pieces not yet in a batch, in order.
    std::deque<std::uint32_t> Waiting;
    /// Pieces without a result.
    std::size_t Missing = 0;
    /// Pieces in calls that have fetched their inputs; repeats count again.
    std::size_t Fetched = 0;
    /// Servers that failed to make a piece of it.
    std::set<backend_id> Avoid;
    std::vector<made_piece> Made;
  };

  /// Jobs with waiting pieces for the servers of a pool, or of its part in one
  /// zone.
  struct queue_state {
    std::vector<job_key> Jobs;
    /// Smoothed size of calls that left pieces waiting: what the servers'
    /// room allows; 0: none yet.
    double FullCall = 0;
    /// Smoothed expected time of calls, in microseconds; 0: none yet.
    double CallMicros = 0;
    struct planned {
      by_urgency<std::uint32_t> Pieces{};
      core_time At;
    };
    std::map<entry_host_id, planned> Planned;
  };
  struct queue_key {
    pool_id Pool;
    /// Empty: all zones.
    zone_id Zone;
    std::strong_ordering operator<=>(const queue_key &) const = default;
  };

  struct batch_piece {
    job_key Job;
    std::uint32_t Piece = 0;
    /// It was queued again because the call is overdue.
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
    /// The hosts were told, or will only hear that the pieces are made.
    bool FetchReported = false;
    core_time overdueAt() const;
  };

  /// What the owner knows of one server.
  struct maker_state {
    /// The batch that it works on.
    std::optional<batch_id> Running;
    core_time FreeAt;
    /// Smoothed ratio of the time that calls took to the time expected.
    double Slowness = 1;
    core_time SlownessAt;
    /// Bytes of results that are there or being made.
    std::uint64_t RoomUsed = 0;
    std::uint64_t ResultCapacityBytes = 0;
    /// No batch before this time.
    core_time BlockedUntil;
    /// When a call was last answered as soon as expected: no other host's call
    /// was ahead of it.
    core_time PromptAt;
    std::vector<result_handle> ToFree;
    core_time FreeBy;
    /// Until then it is known what room there is. Afterwards, and if a piece
    /// found none, the server is asked: another host may have used it.
    core_time KnownUntil;
    std::optional<core_time> AskedAt;
    /// Room that results of other hosts' calls took up when the server said so.
    std::uint64_t OthersBytes = 0;
    core_time OthersAt;
  };

  struct kept_result {
    backend_id Server;
    std::uint64_t Bytes = 0;
    core_time Expires;
  };

  static queue_key queueOf(const piece_job &Job);
  std::vector<job_key> &queue(const queue_key &Key) { return Queues[Key].Jobs; }
  void pumpQueue(const queue_key &Key, core_time Now);
  void giveBackUnserved(const queue_key &Key, core_time Now);
  queue_speed speedOf(const queue_key &Key,
                      const std::vector<planned_server> &Servers);
  std::vector<waiting_job> waitingJobs(const queue_key &Key, core_time Now);
  void dropHopeless(const queue_key &Key,
                    const std::vector<waiting_job> &Waiting,
                    const queue_order &Order, bool Long, core_time Now);
  std::vector<planned_server> planServers(const queue_key &Key, core_time Now);
  void askServers(const queue_key &Key, core_time Now);
  std::uint64_t othersBytes(const maker_state &Maker, core_time Now) const;
  void startBatch(const queue_key &Key, const backend_entry &Server,
                  double Slowness, std::vector<batch_piece> Pieces,
                  core_time Now);
  void takeResult(const batch_state &Batch, const batch_piece &Piece,
                  const batch_item_result &Result, core_time Now);
  void keepResult(const batch_state &Batch, const result_handle &Result,
                  std::uint64_t Bytes, core_time Now);
  void repeatPieces(batch_state &Batch, bool AtFault, bool Charged,
                    core_time Now);
  void requeue(const batch_piece &Piece);
  void failJob(const job_key &Key, piece_failure Failure, core_time Now);
  void dropJob(const job_key &Key, core_time Now);
  void dropEarlierRuns(const host_run &Host, core_time Now);
  void freeAt(const backend_id &Server, const result_handle &Result,
              core_time Now);
  void flushFrees(const backend_id &Id, maker_state &Maker);
  void expireResults(core_time Now);
  void checkOverdue(core_time Now);
  void reportFetched(core_time Now);
  double slowness(const maker_state &Maker, core_time Now) const;
  void observe(const batch_state &Batch, core_time Now);
  void report(const batch_state &Batch, std::optional<batch_failure> Failure,
              core_time Now);

  batch_actions &Actions;
  backend_directory &Servers;
  retry_budget &Budget;
  std::map<pool_id, batch_rules> Pools;
  std::map<queue_key, queue_state> Queues;
  std::map<job_key, job_state> Jobs;
  std::map<batch_id, batch_state> Batches;
  std::map<backend_id, maker_state> Makers;
  std::map<result_handle, kept_result> Kept;
  /// Something happened that may let calls begin or end jobs.
  bool Changed = false;
  /// Waiting jobs are looked at by then in any case: time passes for them.
  core_time LookAt;
  core_time NextExpiry;
  std::uint64_t LastBatch = 0;
  std::uint64_t Pieces = 0;
};

} // namespace jasminecroft
