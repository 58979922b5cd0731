// Admission of calls to backend servers. Alone decides whether a call may go to
// a server now, and if not, why and until when. Calls of every purpose need its
// permit; whoever chooses a server ranks those that it admits.
#pragma once

#include "jasminecroft/core/serving/backend_directory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminecroft {

enum class admission_purpose {
  /// A caller's request: first tries, retries and resumed streams.
  Request,
  /// Pieces of a stage.
  Pieces,
  /// Tells a server of results that nobody needs.
  FreeResults,
  /// Asks a server for its load.
  LoadQuery,
};

/// Why a server may not get a call.
enum class admission_obstacle {
  NotUsable,
  Quarantined,
  Paused,
  Limited,
  Backoff,
  ZoneEmptied,
  Cold,
  /// It has enough large requests of this host in progress.
  RequestBytes,
};
std::string_view toText(admission_obstacle Obstacle);

/// What a call is about, as far as its admission depends on it.
struct call_subject {
  call_subject(admission_purpose Purpose = admission_purpose::Request)
      : Purpose(Purpose) {}

  admission_purpose Purpose;
  /// A part of the prompt is in quarantine.
  bool Quarantined = false;
  /// The limited server for which another host has counted the request.
  std::optional<backend_id> CountedFor;
  /// Size of the request's body, if that matters.
  std::size_t RequestBytes = 0;
};

struct admission_answer {
  /// Absent if the call is admitted.
  std::optional<admission_obstacle> Obstacle;
  /// Expected end of the obstacle; absent if it is not known.
  std::optional<core_time> Until;

  bool admitted() const { return !Obstacle; }
};

/// A reason for which calls are turned down. Sources hold no calls: each is
/// asked anew.
class admission_source {
public:
  virtual ~admission_source() = default;
  /// Returns false if no server has this obstacle, so that such times cost
  /// nothing.
  virtual bool active(core_time Now) const = 0;
  virtual admission_answer check(const backend_state &Server,
                                 const call_subject &Subject,
                                 core_time Now) = 0;
  /// Counts a call that is about to be sent.
  virtual void onAdmitted(const backend_state &, const call_subject &,
                          core_time) {}
};

/// Proof that a call to a server was admitted. Used up by sending the call.
class call_permit {
public:
  call_permit(call_permit &&) = default;
  call_permit &operator=(call_permit &&) = default;
  call_permit(const call_permit &) = delete;
  call_permit &operator=(const call_permit &) = delete;

  const backend_entry &server() const { return Server; }

private:
  friend class call_admission;
  explicit call_permit(backend_entry Server) : Server(std::move(Server)) {}

  backend_entry Server;
};

class call_admission {
public:
  /// CountsHere returns whether this host counts requests to a limited server.
  call_admission(backend_directory &Servers,
                 std::function<bool(const backend_id &)> CountsHere);
  ~call_admission();
  call_admission(const call_admission &) = delete;
  call_admission &operator=(const call_admission &) = delete;

  /// Adds a source, which must outlive this object. The first obstacle found,
  /// in the order of addition, is the answer; it ends with the last one. One
  /// whose end is not known goes before the others.
  void addSource(admission_source &Source);

  admission_answer check(const backend_state &Server,
                         const call_subject &Subject, core_time Now);
  /// Admits a call and counts it, or returns nothing.
  std::optional<call_permit> admit(const backend_id &Server,
                                   const call_subject &Subject, core_time Now);
  /// Returns the usable servers of a pool with their answers.
  std::vector<std::pair<backend_state *, admission_answer>>
  survey(const pool_id &Pool, const call_subject &Subject, core_time Now);
  /// Returns the servers of a pool that may get a call now.
  std::vector<backend_state *>
  candidates(const pool_id &Pool, const call_subject &Subject, core_time Now);
  /// Returns the answer of the server of a pool that is expected to admit a
  /// call first; NotUsable if the pool has no usable server.
  admission_answer firstOpening(const pool_id &Pool,
                                const call_subject &Subject, core_time Now);

private:
  class pause_source;
  class limit_source;
  class backoff_source;

  bool isUsable(const backend_state &Server, const call_subject &Subject,
                core_time Now);
  /// Asks the sources only: the server is known to be usable.
  admission_answer ask(const backend_state &Server, const call_subject &Subject,
                       core_time Now);

  backend_directory &Servers;
  std::vector<std::unique_ptr<admission_source>> BuiltIn;
  /// In the order in which they are asked.
  std::vector<admission_source *> Sources;
};

} // namespace jasminecroft
