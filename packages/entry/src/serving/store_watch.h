// Keeps this host's view of one kind of objects in the platform's store: lists
// them once, then waits for changes.
#pragma once

#include "../http_exchange.h"
#include "../io_types.h"
#include "platform/store/store_objects.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jasminecroft::detail {

/// A store that does not accept a connection in this time is away for this
/// host; waiting longer would delay the next try beyond the end of the outage.
inline constexpr std::chrono::milliseconds StoreConnectTime{600};
/// Time in which the store answers a call that need not wait, slow or not.
inline constexpr std::chrono::milliseconds StoreAnswerTime{1'000};

std::string_view toText(exchange_failure Failure);

/// One call to the store, for those who explain what this host did not know.
struct store_call_report {
  std::string_view Kind;
  /// "list", "watch", or what a registration does.
  std::string_view Call;
  /// Time after which the call is given up.
  std::chrono::milliseconds Limit{0};
  /// Time since the call began.
  std::chrono::milliseconds Took{0};
  /// Why it failed; empty for a call that begins.
  std::string Why;
};

class store_watch_listener {
public:
  virtual ~store_watch_listener() = default;
  /// All objects of the kind, as of Current.
  virtual void onObjects(std::string_view Kind,
                         const std::vector<platform::store_object> &Objects,
                         object_version Current) = 0;
  virtual void onChange(std::string_view Kind,
                        const platform::store_object &Object) = 0;
  /// An object of the kind cannot be read, not even its name.
  virtual void onUnreadable(std::string_view Kind,
                            const platform::unreadable_object &Object) = 0;
  /// All changes up to Revision have been told.
  virtual void onReadTo(std::string_view Kind, object_version Revision) = 0;
  /// Calls fail; what is known may be out of date.
  virtual void onStoreLost(std::string_view Kind, std::string_view Why) = 0;
  virtual void onStoreBack(std::string_view Kind) = 0;
  /// A call begins while the store is lost.
  virtual void onCallBegun(const store_call_report &Call) = 0;
  virtual void onCallFailed(const store_call_report &Call) = 0;
};

/// Pauses between failed calls: doubling, spread so that hosts that failed
/// together do not come back together.
class retry_pause {
public:
  explicit retry_pause(std::uint64_t Seed) : Random(Seed) {}
  std::chrono::milliseconds next();
  void reset() { Last = std::chrono::milliseconds(0); }

private:
  std::mt19937_64 Random;
  std::chrono::milliseconds Last{0};
};

/// How closely a kind of objects is watched.
struct watch_rules {
  /// Time after a change in which further ones are left to gather, so that one
  /// call brings them all.
  std::chrono::milliseconds Gathering{0};
  /// Time that one call waits for changes. Each counts; a dead connection is
  /// noticed earlier by its probes.
  std::chrono::milliseconds WatchTime{10'000};
  /// The same at a host that watches closely: a call that began just before the
  /// store went silent is noticed after this time.
  std::chrono::milliseconds CloseWatchTime{10'000};
  /// What is read may be seconds old; such calls cost little.
  bool MayBeOld = false;
};

/// Calls of one watch since the start, by purpose.
struct store_call_counts {
  std::uint64_t Lists = 0;
  /// Calls that wait for changes.
  std::uint64_t Watches = 0;
  /// Calls that ask for changes without waiting.
  std::uint64_t Checks = 0;
};

class store_watch;

/// Whether the store answers this host, shared by its watches: while it does
/// not, one of them tries and the others wait for its answer. Also the latest
/// era that the store has stated to this host.
class store_reach {
public:
  using era_handler = std::function<void(store_era)>;

  /// Handler is called once for each era that is later than one known before.
  void setOnLaterEra(era_handler Handler) { OnLaterEra = std::move(Handler); }
  void add(const std::shared_ptr<store_watch> &Watch);
  /// A call of Watch failed as if the store were away. True if Watch is the one
  /// that tries.
  bool onAway(const store_watch &Watch);
  /// The store answered Watch.
  void onAnswered(const store_watch &Watch);
  /// Watch has a failure of its own; another may try in its place.
  void giveUpTrying(const store_watch &Watch);
  /// An answer to Asker, or to a call of no watch, stated Era. If it is later
  /// than the one known, the other watches start over. Returns true if so.
  bool noteEra(store_era Era, const store_watch *Asker);
  store_era era() const { return Era; }

private:
  std::vector<std::weak_ptr<store_watch>> Watches;
  /// Compared only. Absent while the store is not known to be away.
  const store_watch *Trying = nullptr;
  /// Zero until an answer states one. Never decreases.
  store_era Era;
  era_handler OnLaterEra;
};

/// Waits for changes only after the store has just answered: a call to a store
/// that is away may stay without an answer after its return. Such calls ask for
/// an answer at once, and another is begun beside one that has none in time.
///
/// Revisions are ordered within one era of the store. A watch lists again in
/// each later era, as the changes from a revision of an earlier one are not
/// known, and uses no answer of an era before the latest one.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
  store_watch(boost::asio::io_context &Context, http_client &Client,
              endpoint Store, std::string_view Kind, const watch_rules &Rules,
              std::uint64_t Seed, store_reach &Reach,
              store_watch_listener &Listener);
  void start();
  void stop();
  /// The store answers another watch again: asks it anew.
  void resume();
  /// The store came back from an older copy: lists all objects again, on demand
  /// with the next check.
  void startOver();
  /// Whether anything that startOver() forgets has been read.
  bool hasRead() const { return !Listing || !Pages.empty(); }
  /// There may be changes of which a waiting call does not tell.
  void check();
  void setClose(bool Closely);
  /// On demand: the store is asked only when check() is called, and for the
  /// first list.
  void setOnDemand(bool OnDemand);
  /// A peer has told all changes up to Revision. One of a later era only makes
  /// the watch start over.
  void onTold(object_version Revision);

  std::string_view kind() const { return Kind; }
  /// Time since the store last answered a call of this watch, or since start.
  std::chrono::milliseconds silence() const;
  const store_call_counts &counts() const { return Counts; }

private:
  class answer;
  using clock = std::chrono::steady_clock;
  struct started_call {
    std::uint64_t Id = 0;
    clock::time_point Begun;
    std::chrono::milliseconds Limit{0};
    bool Lists = false;
    std::shared_ptr<http_exchange> Exchange;
    /// Stated by the answer; zero if it states none.
    store_era Era;
  };
  enum class failure { StoreAway, OwnKind };

  void call();
  void callAfter(std::chrono::milliseconds Time);
  void onTimer();
  std::chrono::milliseconds pauseAfter(std::size_t Bytes);
  void onAnswer(std::uint64_t Id, unsigned Status, const std::string &Body);
  void onCallFailed(std::uint64_t Id, std::string_view Why);
  void onCallFailed(const started_call &Call, std::string_view Why,
                    failure Failure);
  void onEra(std::uint64_t Id, store_era Era);
  std::vector<started_call>::iterator findCall(std::uint64_t Id);
  std::optional<started_call> takeCall(std::uint64_t Id);
  void forget();
  void onListed(const std::string &Body, store_era Era);
  void onEvents(const std::string &Body, store_era Era);
  void onFailed(std::string_view Why, failure Failure);
  void setLost(std::string_view Why);
  void cancelCalls();
  store_call_report report(const started_call &Call,
                           std::string_view Why) const;

  http_client &Client;
  endpoint Store;
  std::string_view Kind;
  watch_rules Rules;
  store_reach &Reach;
  store_watch_listener &Listener;
  io_timer Timer;
  retry_pause Pause;
  /// In the order of their begin. The first answer counts; the others are
  /// cancelled.
  std::vector<started_call> Calls;
  std::uint64_t LastCall = 0;
  bool Listing = true;
  /// The next call asks for an answer at once: the last one had none.
  bool Checking = true;
  bool Stopped = false;
  bool Lost = false;
  bool Close = false;
  bool OnDemand = false;
  /// check() was called while a check was under way, whose answer may be older.
  bool CheckAgain = false;
  /// Not before: reads leave a part of the link to requests.
  clock::time_point NextReadAt;
  store_call_counts Counts;
  /// Objects of the pages read so far, all of one era.
  std::vector<platform::store_object> Pages;
  object_version FirstPage;
  object_version Since;
  /// Begin of the call that was answered last.
  clock::time_point AnsweredCallAt;
  clock::time_point HeardAt = clock::now();
};

} // namespace jasminecroft::detail
