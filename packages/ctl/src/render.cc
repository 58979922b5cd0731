// Text and JSON of what jasminecroftctl prints.
#include "render.h"

#include "jasminecroft/wire/json_codec.h"

#include <algorithm>
#include <sstream>

namespace jasminecroft::ctl {

namespace {

struct difference_text {
  std::string operator()(const default_set &D) const {
    return std::string(describe(D.Key).Name) + ": " + std::to_string(D.Before) +
           " -> " + std::to_string(D.After);
  }
  std::string operator()(const exception_added &D) const {
    return "exception " + D.Exception.Id.Value +
           " added: " + std::string(describe(D.Exception.Key).Name) + " = " +
           std::to_string(D.Exception.Value) + " for " +
           describeScope(D.Exception.Scope);
  }
  std::string operator()(const exception_removed &D) const {
    return "exception " + D.Exception.Id.Value + " removed";
  }
  std::string operator()(const pipeline_set &D) const {
    return setText("pipeline", D.Before, D.After);
  }
  std::string operator()(const pool_set &D) const {
    return setText("pool", D.Before, D.After);
  }
  std::string operator()(const workspace_added &D) const {
    return "workspace " + D.Workspace.Value + " added";
  }
  std::string operator()(const workspace_removed &D) const {
    return "workspace " + D.Workspace.Value + " removed";
  }

  template <typename Definition>
  static std::string setText(std::string_view Kind,
                             const std::optional<Definition> &Before,
                             const std::optional<Definition> &After) {
    if (!After)
      return std::string(Kind) + " " + Before->Name.Value + " removed";
    std::string Verb = Before ? " changed" : " added";
    return std::string(Kind) + " " + After->Name.Value + Verb;
  }
};

} // namespace

std::string describeScope(const exception_scope &Scope) {
  std::string Text;
  if (Scope.Workspace)
    Text += " workspace=" + Scope.Workspace->Value;
  if (Scope.Pipeline)
    Text += " pipeline=" + Scope.Pipeline->Value;
  if (Scope.Pool)
    Text += " pool=" + Scope.Pool->Value;
  if (Scope.Zone)
    Text += " zone=" + Scope.Zone->Value;
  return Text.empty() ? "everywhere" : Text.substr(1);
}

std::string describeDifference(const config_difference &Difference) {
  return std::visit(difference_text(), Difference);
}

std::string describeChange(const change_record &Change) {
  std::string Text = "version " + std::to_string(Change.Result.Value) + "  " +
                     toText(Change.MadeAt) + "  " + Change.Author.Value +
                     "  change " + Change.Id.Value +
                     "\n    reason: " + Change.Reason + "\n";
  for (const config_difference &Difference : Change.Differences)
    Text += "    " + describeDifference(Difference) + "\n";
  return Text;
}

std::string describeException(const config_exception &Exception,
                              wall_time Now) {
  std::string Text =
      Exception.Id.Value + ": " + std::string(describe(Exception.Key).Name) +
      " = " + std::to_string(Exception.Value) + " for " +
      describeScope(Exception.Scope) + "\n    reason: " + Exception.Reason +
      "\n    by " + Exception.Author.Value + " at " + toText(Exception.MadeAt) +
      ", since version " + std::to_string(Exception.Since.Value) +
      ", review by " + toText(Exception.ReviewBy);
  if (Exception.ReviewBy <= Now)
    Text += " (OVERDUE)";
  return Text + "\n";
}

boost::json::object exceptionToJson(const config_exception &Exception) {
  boost::json::object Scope;
  if (Exception.Scope.Workspace)
    Scope["workspace"] = Exception.Scope.Workspace->Value;
  if (Exception.Scope.Pipeline)
    Scope["pipeline"] = Exception.Scope.Pipeline->Value;
  if (Exception.Scope.Pool)
    Scope["pool"] = Exception.Scope.Pool->Value;
  if (Exception.Scope.Zone)
    Scope["zone"] = Exception.Scope.Zone->Value;
  return {{"id", Exception.Id.Value},
          {"scope", std::move(Scope)},
          {"setting", describe(Exception.Key).Name},
          {"value", Exception.Value},
          {"reason", Exception.Reason},
          {"author", Exception.Author.Value},
          {"made_at", toText(Exception.MadeAt)},
          {"review_by", toText(Exception.ReviewBy)},
          {"since", Exception.Since.Value}};
}

boost::json::object effectiveToJson(const effective_setting &Setting) {
  boost::json::object Object{{"setting", describe(Setting.Key).Name},
                             {"value", Setting.Value},
                             {"unit", describe(Setting.Key).Unit},
                             {"since", Setting.Since.Value}};
  if (Setting.Exception)
    Object["exception"] = exceptionToJson(*Setting.Exception);
  return Object;
}

text_table::text_table(std::vector<std::string> Heading) {
  add(std::move(Heading));
}

void text_table::add(std::vector<std::string> Row) {
  Rows.push_back(std::move(Row));
}

std::string text_table::text() const {
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const std::vector<std::string> &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::ostringstream Text;
  for (const std::vector<std::string> &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line += std::string(Widths[I] - Row[I].size() + 2, ' ');
    }
    Text << Line << '\n';
  }
  return Text.str();
}

} // namespace jasminecroft::ctl
