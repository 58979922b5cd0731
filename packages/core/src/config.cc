// Table of all settings, and lookup of the value in force in a context.
#include "jasminecroft/core/config.h"

#include <algorithm>

namespace jasminecroft {

const std::vector<setting_description> &settingDescriptions() {
  static const std::vector<setting_description> Descriptions = {
      {setting_key::DeadlineMs, "deadline_ms", "ms", 10, 86'400'000, 5'000,
       "deadline of a request whose caller sets none"},
      {setting_key::MaxBodyBytes, "max_body_bytes", "bytes", 1, 16'777'216,
       1'048'576, "largest request body"},
      {setting_key::WorkspaceWeight, "workspace_weight", "", 1, 10'000, 100,
       "share of a workspace among those that use the same pool"},
      {setting_key::WorkspaceMaxInFlight, "workspace_max_in_flight", "requests",
       1, 1'000'000, 10'000, "concurrent requests of a workspace, fleet-wide"},
      {setting_key::LongWorkMs, "long_work_ms", "ms", 1, 3'600'000, 2'000,
       "estimated work from which a call counts as long"},
      {setting_key::LongWorkSharePermille, "long_work_share_permille",
       "permille", 1, 1'000, 350,
       "share of slots that long work may hold while short work waits"},
      {setting_key::HedgeQuantilePermille, "hedge_quantile_permille",
       "permille", 0, 999, 950,
       "quantile of observed latency after which a call is hedged; 0 is never"},
      {setting_key::RetryBudgetPermille, "retry_budget_permille", "permille", 0,
       500, 40, "extra attempts for each attempt, by retries and hedges"},
      {setting_key::MaxAttempts, "max_attempts", "attempts", 1, 10, 3,
       "maximum attempts of one stage call, including the first"},
      {setting_key::SpillAllowed, "spill_allowed", "0 or 1", 0, 1, 1,
       "whether work may be sent to other availability zones"},
      {setting_key::PoolMaxQueued, "pool_max_queued", "calls", 1, 1'000'000,
       2'000, "calls that one entry host queues for a pool"},
      {setting_key::ClaimRetentionSeconds, "claim_retention_seconds", "s", 60,
       31'536'000, 604'800, "age from which a settled claim may be deleted"},
  };
  return Descriptions;
}

const setting_description &describe(setting_key Key) {
  return settingDescriptions()[static_cast<std::size_t>(Key)];
}

std::optional<setting_key> settingFromName(std::string_view Name) {
  for (const setting_description &Description : settingDescriptions())
    if (Description.Name == Name)
      return Description.Key;
  return std::nullopt;
}

namespace {

template <typename Id>
bool memberMatches(const std::optional<Id> &Scope,
                   const std::optional<Id> &Context) {
  return !Scope || Scope == Context;
}

bool matches(const exception_scope &Scope, const setting_context &Context) {
  return memberMatches(Scope.Workspace, Context.Workspace) &&
         memberMatches(Scope.Pipeline, Context.Pipeline) &&
         memberMatches(Scope.Pool, Context.Pool) &&
         memberMatches(Scope.Zone, Context.Zone);
}

int specificity(const exception_scope &Scope) {
  return Scope.Workspace.has_value() + Scope.Pipeline.has_value() +
         Scope.Pool.has_value() + Scope.Zone.has_value();
}

bool takesPrecedence(const config_exception &A, const config_exception &B) {
  int SpecificityA = specificity(A.Scope);
  int SpecificityB = specificity(B.Scope);
  if (SpecificityA != SpecificityB)
    return SpecificityA > SpecificityB;
  if (A.Since != B.Since)
    return A.Since > B.Since;
  return A.Id > B.Id;
}

} // namespace

effective_setting effectiveSetting(const fleet_config &Config, setting_key Key,
                                   const setting_context &Context) {
  effective_setting Result;
  Result.Key = Key;
  Result.Value = describe(Key).Default;
  auto Default = Config.Defaults.find(Key);
  if (Default != Config.Defaults.end())
    Result.Value = Default->second;
  auto Since = Config.DefaultsSince.find(Key);
  if (Since != Config.DefaultsSince.end())
    Result.Since = Since->second;

  const config_exception *Best = nullptr;
  for (const config_exception &Exception : Config.Exceptions) {
    if (Exception.Key != Key || !matches(Exception.Scope, Context))
      continue;
    if (!Best || takesPrecedence(Exception, *Best))
      Best = &Exception;
  }
  if (Best) {
    Result.Value = Best->Value;
    Result.Exception = *Best;
    Result.Since = Best->Since;
  }
  return Result;
}

std::int64_t settingValue(const fleet_config &Config, setting_key Key,
                          const setting_context &Context) {
  return effectiveSetting(Config, Key, Context).Value;
}

} // namespace jasminecroft
