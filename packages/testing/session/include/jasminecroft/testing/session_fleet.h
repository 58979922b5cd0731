// The cores of a session with a platform that does as it is told.
#pragma once

#include "jasminecroft/core/entry_core.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminecroft::testing {

/// What happens to the oldest waiting claim call.
enum class platform_fate { Apply, Lose, Drop, Hold, Refuse };

/// An action with the host whose core it came from.
struct host_action {
  std::string Host;
  action Action;
};

/// Several cores in virtual time. Reads of the configuration, load polls and
/// gossip work by themselves; claim calls and messages about claims wait for
/// the session's word.
class session_fleet {
public:
  /// Stages: a letter for each stage; capitals must not repeat.
  session_fleet(const std::vector<std::string> &Hosts,
                const std::string &Stages);

  bool knows(const std::string &Host) const { return Hosts.contains(Host); }
  void handle(const std::string &Host, const event &Event);
  /// False if no claim call waits.
  bool decideClaimCall(platform_fate Fate);
  /// The oldest held call takes effect now; false if there is none.
  bool applyHeldCall();
  void deliverClaimMessages();
  void loseClaimMessages() { ClaimMessages.clear(); }
  void advance(core_duration Time);
  /// Lets time pass while no host runs.
  void pause(core_duration Time) { Now += Time; }
  void restart(const std::string &Host);
  /// The visible actions since the last call.
  std::vector<host_action> takeActions();

private:
  struct host {
    std::unique_ptr<entry_core> Core;
    incarnation Run;
    bool Stopped = false;
  };
  struct claim_call {
    std::string Host;
    incarnation Run;
    call_platform Call;
  };
  struct stored_entry {
    stored_object Value;
    object_version Version;
  };
  struct message {
    std::string To;
    peer_message Message;
  };

  void start(const std::string &Name);
  void process(const std::string &Host, const event &Event);
  void perform(const std::string &Host, const action &Action);
  void onPlatformCall(const std::string &Host, const call_platform &Call);
  void drain();
  platform_result apply(const platform_operation &Operation);
  host_list listedHosts() const;

  std::vector<std::string> Names;
  fleet_config Config;
  std::map<std::string, host> Hosts;
  core_time Now{};
  std::map<object_key, stored_entry> Objects;
  object_version LastVersion;
  std::deque<claim_call> ClaimCalls;
  std::deque<claim_call> HeldCalls;
  std::deque<message> ClaimMessages;
  /// The last claim call failed; probes of the platform fail too.
  bool PlatformFails = false;
  /// Events that the fakes answer with by themselves.
  std::deque<std::pair<std::string, event>> Automatic;
  std::vector<host_action> Visible;
};

} // namespace jasminecroft::testing
