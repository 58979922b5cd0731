// The two users' fleets and request classes.
#include "jasminecroft/testing/experiment.h"

#include <cmath>

namespace jasminecroft::experiment {

namespace {

constexpr core_duration Second{1'000'000};
/// Sum of the workspaces' weights.
constexpr double WeightOfAll = 1'000;

struct stage_spec {
  const char *Name;
  const char *Pool;
  bool Repeatable;
  stage_cost Cost;
};

const stage_spec Encode{"encode", "encoder", true, {4, 1, 0, 600}};
const stage_spec Retrieve{"retrieve", "retriever", true, {8, 1, 0, 1500}};
const stage_spec Rerank{"rerank", "reranker", true, {12, 2, 0, 1200}};
const stage_spec Generate{"generate", "model", true, {20, 15, 5, 800}};

request_class makeClass(const char *Name, const std::vector<stage_spec> &Stages,
                        core_duration Deadline, double Rate) {
  request_class Class;
  Class.Pipeline.Name = pipeline_id(Name);
  for (const stage_spec &Stage : Stages) {
    Class.Pipeline.Stages.push_back(
        {stage_id(Stage.Name), pool_id(Stage.Pool), Stage.Repeatable});
    Class.Costs.push_back(Stage.Cost);
  }
  Class.Deadline = Deadline;
  Class.Rate = Rate;
  return Class;
}

std::vector<pool_definition> pools(const char *Booking) {
  return {{pool_id("model"), pool_kind::ModelEngine, 8, false},
          {pool_id("encoder"), pool_kind::PlainService, 4, false},
          {pool_id("retriever"), pool_kind::PlainService, 4, false},
          {pool_id("reranker"), pool_kind::PlainService, 4, false},
          {pool_id(Booking), pool_kind::PlainService, 4, false}};
}

} // namespace

workload escalerasWorkload() {
  workload Workload;
  Workload.Name = "escaleras";
  Workload.EntryHosts = 8;
  Workload.Pools = pools("orders");
  Workload.Replicas = {10, 4, 5, 4, 3};
  Workload.Bottleneck = pool_id("model");
  Workload.WorkspaceShares = {0.35, 0.3, 0.15, 0.1, 0.1};

  request_class PartCheck =
      makeClass("part-check", {Encode, Retrieve, Generate}, 2 * Second, 60);
  PartCheck.MaxTokens = 64;
  request_class Question = makeClass(
      "crew-question", {Encode, Retrieve, Rerank, Generate}, 6 * Second, 20);
  Question.MaxTokens = 256;
  Question.MaxBytes = 2'000;
  request_class Report = makeClass(
      "survey-report", {Encode, Retrieve, Rerank, Generate}, 120 * Second, 1.2);
  Report.MaxTokens = 4'096;
  Report.MinBytes = 4'000;
  Report.MaxBytes = 12'000;
  Report.Short = false;
  request_class Order = makeClass(
      "work-order", {Encode, {"book", "orders", false, {25, 0, 0, 300}}},
      4 * Second, 8);
  request_class Lookup =
      makeClass("catalogue-lookup", {Encode, Retrieve}, Second, 25);
  Workload.Classes = {PartCheck, Question, Report, Order, Lookup};
  return Workload;
}

workload consorcioWorkload() {
  workload Workload;
  Workload.Name = "consorcio";
  Workload.EntryHosts = 6;
  Workload.Pools = pools("registry");
  Workload.Replicas = {12, 5, 4, 4, 3};
  Workload.Bottleneck = pool_id("model");
  Workload.WorkspaceShares = {0.3, 0.3, 0.2, 0.1, 0.1};

  request_class Draft =
      makeClass("session-draft", {Encode, Generate}, 300 * Second, 0.9);
  Draft.MaxTokens = 8'192;
  Draft.MinBytes = 8'000;
  Draft.MaxBytes = 20'000;
  Draft.Short = false;
  request_class Summary =
      makeClass("agenda-summary", {Encode, Generate}, 8 * Second, 12);
  Summary.MaxTokens = 400;
  Summary.MinBytes = 1'000;
  Summary.MaxBytes = 4'000;
  request_class Filing = makeClass(
      "acta-filing", {Encode, {"file", "registry", false, {40, 2, 0, 300}}},
      5 * Second, 4);
  request_class Search = makeClass(
      "archive-search", {Encode, Retrieve, Rerank, Generate}, 2 * Second, 50);
  Search.MaxTokens = 48;
  Workload.Classes = {Draft, Summary, Filing, Search};
  return Workload;
}

fleet_config configOf(const workload &Workload) {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = fleet_id(Workload.Name);
  for (std::size_t I = 0; I < Workload.WorkspaceShares.size(); ++I) {
    workspace_id Workspace("ws" + std::to_string(I));
    Config.Workspaces.insert(Workspace);
    config_exception Weight;
    Weight.Id = exception_id("weight-" + Workspace.Value);
    Weight.Scope.Workspace = Workspace;
    Weight.Key = setting_key::WorkspaceWeight;
    Weight.Value = std::llround(Workload.WorkspaceShares[I] * WeightOfAll);
    Weight.Reason = "share of the fleet that the workspace has paid for";
    Config.Exceptions.push_back(Weight);
  }
  for (const pool_definition &Pool : Workload.Pools)
    Config.Pools[Pool.Name] = Pool;
  for (const request_class &Class : Workload.Classes)
    Config.Pipelines[Class.Pipeline.Name] = Class.Pipeline;
  return Config;
}

double bottleneckWorkMs(const workload &Workload, const request_class &Class) {
  double Work = 0;
  double Kilobytes =
      static_cast<double>(Class.MinBytes + Class.MaxBytes) / 2'000;
  double Tokens = Class.MaxTokens * (1 + Class.MinTokenShare) / 2;
  for (std::size_t I = 0; I < Class.Costs.size(); ++I) {
    const stage_cost &Cost = Class.Costs[I];
    if (Class.Pipeline.Stages[I].Pool == Workload.Bottleneck)
      Work += Cost.BaseMs + Cost.PerKilobyteMs * Kilobytes +
              Cost.PerTokenMs * Tokens;
    Kilobytes = static_cast<double>(Cost.OutputBytes) / 1'000;
  }
  return Work;
}

double loadAtCapacity(const workload &Workload) {
  double OfferedMs = 0;
  for (const request_class &Class : Workload.Classes)
    OfferedMs += Class.Rate * bottleneckWorkMs(Workload, Class);
  double SlotMs = 0;
  for (std::size_t I = 0; I < Workload.Pools.size(); ++I)
    if (Workload.Pools[I].Name == Workload.Bottleneck)
      SlotMs += 1'000.0 * static_cast<double>(Workload.Replicas[I]) *
                Workload.Pools[I].SlotsPerBackend;
  return SlotMs / OfferedMs;
}

} // namespace jasminecroft::experiment
