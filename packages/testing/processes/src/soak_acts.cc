// Acts by kind of servers.
#include "jasminecroft/processes/soak_acts.h"

namespace jasminecroft::processes {

using standins::backend_act;

namespace {

/// One of so many requests meets trouble.
constexpr std::uint64_t TroubledShare = 4;

const std::vector<backend_act> TroubledActs = {
    backend_act::Refuse,           backend_act::RefuseTooMany,
    backend_act::RunAndFail,       backend_act::RunAndRepeat,
    backend_act::RefuseAndRepeat,  backend_act::Close,
    backend_act::RunAndClose,      backend_act::RunAndCutHead,
    backend_act::RunAndCutBody,    backend_act::RunAndHang,
    backend_act::RefuseInputsGone, backend_act::PieceLate,
    backend_act::PieceGone,        backend_act::PieceNoRoom,
    backend_act::PieceError};
const std::vector<backend_act> UnnamedActs = {
    backend_act::RefuseUnnamed, backend_act::RefuseUnnamedAndRepeat,
    backend_act::RefuseUnnamedAndRepeat, backend_act::RefuseWithPause};
const std::vector<backend_act> WishingActs = {
    backend_act::RunAndStateLimit, backend_act::RunAndStateLimit,
    backend_act::RefuseNamedWithPause, backend_act::RefuseNamedWithPause};
const std::vector<backend_act> ContradictingActs = {
    backend_act::RunAndAnswerBusy,
    backend_act::RunAndAnswerTooMany,
    backend_act::RunAndAnswerTimeout,
    backend_act::RunAndAnswerUnsigned,
    backend_act::RunAndMisdirectSigned,
    backend_act::RunAndMisdirectAsExpected,
    backend_act::RunAndMisdirectStatedAsExpected,
    backend_act::RunAndMisdirectBarely,
    backend_act::RunAndStateSigned,
    backend_act::RunAndStateOnError,
    backend_act::RunAndStateOnTimeout,
    backend_act::RunAndStateNothing,
    backend_act::RunAndStateTwice,
    backend_act::RunAndStateForTwo,
    backend_act::RunAndStateAfterInterim,
    backend_act::RunAndStateBehindOther};

} // namespace

const std::vector<backend_act> &contradictingActs() {
  return ContradictingActs;
}

soak_acts::soak_acts(std::uint64_t Seed, soak_servers Servers) : Random(Seed) {
  if (Servers == soak_servers::Sound)
    return;
  Acts = TroubledActs;
  if (Servers == soak_servers::Unnamed)
    Acts.insert(Acts.end(), UnnamedActs.begin(), UnnamedActs.end());
  if (Servers == soak_servers::Wishing)
    Acts.insert(Acts.end(), WishingActs.begin(), WishingActs.end());
  if (Servers == soak_servers::Contradicting)
    Acts.insert(Acts.end(), ContradictingActs.begin(), ContradictingActs.end());
}

backend_act soak_acts::choose() {
  if (Acts.empty() || Calm || Random() % TroubledShare != 0)
    return backend_act::Run;
  return Acts[Random() % Acts.size()];
}

} // namespace jasminecroft::processes
