// Random numbers and the fakes of the policy experiments.
#include "jasminecroft/testing/experiment_parts.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft::experiment {

namespace {

constexpr std::size_t MaxQueued = 64;
constexpr std::size_t CachedPrefixes = 6;
constexpr double CachedShare = 0.3;
constexpr double MicrosecondsPerMs = 1'000;

} // namespace

double seeded_random::uniform() {
  return static_cast<double>(Generator() >> 11) * 0x1.0p-53;
}

double seeded_random::between(double Low, double High) {
  return Low + (High - Low) * uniform();
}

double seeded_random::exponential(double Mean) {
  return -Mean * std::log(1 - uniform());
}

std::size_t seeded_random::below(std::size_t Limit) {
  return static_cast<std::size_t>(Generator() % Limit);
}

fake_backend::fake_backend(event_queue &Time, const pool_definition &Pool,
                           std::vector<slow_spell> Spells, finished OnFinished)
    : Time(Time), Pool(Pool), Spells(std::move(Spells)),
      OnFinished(std::move(OnFinished)) {}

bool fake_backend::accept(backend_job Job) {
  if (queued() >= MaxQueued)
    return false;
  bool Behind = Job.Batch && Pool.Kind == pool_kind::ModelEngine;
  Job.Enqueued = Time.now();
  Queue[Behind ? 1 : 0].push_back(std::move(Job));
  startNext();
  return true;
}

void fake_backend::startNext() {
  while (Running.size() < Pool.SlotsPerBackend && queued() > 0) {
    std::deque<backend_job> &From = Queue[0].empty() ? Queue[1] : Queue[0];
    backend_job Job = std::move(From.front());
    From.pop_front();
    Job.Started = Time.now();
    core_time End = finishTime(serviceMs(Job));
    job_key Key{Job.Host, Job.Attempt};
    Running.emplace(Key, std::move(Job));
    Time.after(End - Time.now(), [this, Key] {
      auto Found = Running.find(Key);
      if (Found == Running.end())
        return;
      backend_job Done = std::move(Found->second);
      Running.erase(Found);
      startNext();
      OnFinished(Done);
    });
  }
}

double fake_backend::serviceMs(const backend_job &Job) {
  double PrefillMs = Job.Cost.PerKilobyteMs * Job.Kilobytes;
  if (Pool.Kind == pool_kind::ModelEngine) {
    auto Hit = std::find(Cached.begin(), Cached.end(), Job.Prefix);
    if (Hit != Cached.end()) {
      PrefillMs *= CachedShare;
      Cached.erase(Hit);
    }
    Cached.push_front(Job.Prefix);
    if (Cached.size() > CachedPrefixes)
      Cached.pop_back();
  }
  return Job.Cost.BaseMs + PrefillMs + Job.Cost.PerTokenMs * Job.Tokens;
}

// Works through the spells, slower within them. They are in order.
core_time fake_backend::finishTime(double WorkMs) const {
  core_time At = Time.now();
  double LeftUs = WorkMs * MicrosecondsPerMs;
  for (const slow_spell &Spell : Spells) {
    if (Spell.End <= At)
      continue;
    if (Spell.Start > At) {
      double UntilSpell = static_cast<double>((Spell.Start - At).count());
      if (LeftUs <= UntilSpell)
        break;
      LeftUs -= UntilSpell;
      At = Spell.Start;
    }
    double Capacity =
        static_cast<double>((Spell.End - At).count()) / Spell.Factor;
    if (LeftUs <= Capacity)
      return At + core_duration(std::llround(LeftUs * Spell.Factor));
    LeftUs -= Capacity;
    At = Spell.End;
  }
  return At + core_duration(std::llround(LeftUs));
}

std::optional<backend_job> fake_backend::cancel(std::size_t Host,
                                                attempt_id Attempt) {
  auto Found = Running.find({Host, Attempt});
  if (Found != Running.end()) {
    backend_job Job = std::move(Found->second);
    Running.erase(Found);
    startNext();
    return Job;
  }
  for (std::deque<backend_job> &Waiting : Queue)
    for (auto Job = Waiting.begin(); Job != Waiting.end(); ++Job) {
      if (Job->Host != Host || Job->Attempt != Attempt)
        continue;
      backend_job Removed = std::move(*Job);
      Removed.Started = Time.now();
      Waiting.erase(Job);
      return Removed;
    }
  return std::nullopt;
}

void fake_platform::put(const object_key &Key, const stored_object &Value) {
  Objects[Key] = {Value, object_version(1)};
}

std::optional<platform_result>
fake_platform::run(const platform_operation &Operation) {
  if (std::holds_alternative<watch_object>(Operation))
    return std::nullopt;
  if (const get_object *Get = std::get_if<get_object>(&Operation)) {
    auto Found = Objects.find(Get->Key);
    if (Found == Objects.end())
      return object_absent{};
    return object_found{Found->second.Value, Found->second.Version};
  }
  if (const create_object *Create = std::get_if<create_object>(&Operation)) {
    if (Objects.contains(Create->Key))
      return version_conflict{};
    put(Create->Key, Create->Value);
    return object_written{object_version(1)};
  }
  if (const update_object *Update = std::get_if<update_object>(&Operation)) {
    auto Found = Objects.find(Update->Key);
    if (Found == Objects.end() || Found->second.Version != Update->Expected)
      return version_conflict{};
    Found->second = {Update->Value, Update->Expected.next()};
    return object_written{Found->second.Version};
  }
  if (const delete_object *Delete = std::get_if<delete_object>(&Operation)) {
    Objects.erase(Delete->Key);
    return object_written{};
  }
  return objects_listed{};
}

} // namespace jasminecroft::experiment
