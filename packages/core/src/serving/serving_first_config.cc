// The first configuration of a host, and workspaces of any one that cannot be
// served. The store may hold an older copy than what peers use, so a peer has
// to confirm the first one before requests are admitted.
#include "serving_state.h"

#include "jasminecroft/core/field_text.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Time in which a peer that is reached has answered twice: the interval of
/// questions to the seeds, and one more.
constexpr core_duration ConfirmTime = std::chrono::seconds(1);
/// Hosts beside the seeds that are asked; any one that has a configuration
/// confirms it.
constexpr std::size_t AskedHosts = 3;

} // namespace

using namespace detail;

// Returns whether requests may be judged by the configuration.
bool serving_impl::configConfirmed() const { return View && !ConfirmBy; }

// Whether there are others is known once the list of hosts was read: a seed may
// be this host itself.
bool serving_impl::isAlone() const {
  return Hosts.listReadAt() && Hosts.others().empty() &&
         std::all_of(Settings.Seeds.begin(), Settings.Seeds.end(),
                     [this](const endpoint &Seed) {
                       return Seed == Settings.PeerAddress;
                     });
}

void serving_impl::onFirstConfig() {
  if (isAlone())
    return;
  ConfirmBy = Now + ConfirmTime;
  NextSeedHeartbeat = Now;
  askForConfirmation();
}

void serving_impl::onHostListRead() {
  Hosts.onListRead(Now);
  if (!ConfirmBy)
    return;
  if (isAlone())
    ConfirmBy.reset();
  else
    askForConfirmation();
}

void serving_impl::askForConfirmation() {
  std::vector<batching_host> Others = Hosts.ring();
  for (std::size_t I = 0; I < std::min(Others.size(), AskedHosts); ++I)
    Actions.sendToPeer(Others[I], makeHeartbeat(true));
}

// A peer has named the version that it uses; none if it knows no configuration.
void serving_impl::onPeersConfig(const entry_host_id &Peer,
                                 config_version Version) {
  PeersConfig = std::max(PeersConfig, Version);
  confirmConfig();
  if (ConfirmBy && Version > View->Config->Version)
    sendToHost(Peer, operator_config_pull{});
}

void serving_impl::confirmConfig() {
  if (!ConfirmBy)
    return;
  bool IsKnown =
      PeersConfig > config_version() && View->Config->Version >= PeersConfig;
  if (!IsKnown && Now < *ConfirmBy)
    return;
  ConfirmBy.reset();
  if (!IsKnown)
    log(event_number::ConfigUnconfirmed, event_severity::Warning,
        "no peer has confirmed the first configuration; it is used",
        {{"version", std::to_string(View->Config->Version.Value)},
         {"peers", std::to_string(PeersConfig.Value)}});
}

// Requests of these workspaces are refused; all others are served.
void serving_impl::logUnusableWorkspaces(const route_config &Config) {
  std::set<workspace_id> Unusable;
  for (const std::pair<const workspace_key, key_owner> &Key : Config.Keys)
    if (!isFieldText(Key.second.Workspace.Value))
      Unusable.insert(Key.second.Workspace);
  for (const workspace_id &Workspace : Unusable)
    log(event_number::WorkspaceNameUnusable, event_severity::Error,
        "name of a workspace cannot stand in a head; its requests are refused",
        {{"version", std::to_string(Config.Version.Value)},
         {"workspace", Workspace.Value.substr(0, MaxNameBytes)}});
}

} // namespace jasminecroft
