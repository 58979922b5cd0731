// Reads status pages of entry hosts and puts them side by side.
#include "status_commands.h"

#include "render.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace jasminecroft::ctl {

namespace {

namespace json = boost::json;

/// A status page; null if the host was not reached or sent no JSON object.
json::value readPage(const endpoint &Host, const std::string &Topic,
                     command_environment &Environment) {
  std::optional<std::string> Text = Environment.Hosts.read(Host, Topic);
  if (!Text)
    return nullptr;
  json::error_code Error;
  json::value Value = json::parse(*Text, Error);
  if (Error || !Value.is_object())
    return nullptr;
  return Value;
}

std::string cell(const json::value &Page, std::string_view Name) {
  const json::object *Object = Page.if_object();
  const json::value *Member = Object ? Object->if_contains(Name) : nullptr;
  if (!Member)
    return "-";
  if (const json::string *Text = Member->if_string())
    return std::string(*Text);
  return json::serialize(*Member);
}

std::uint64_t numberOf(const json::value &Page, std::string_view Name) {
  const json::object *Object = Page.if_object();
  const json::value *Member = Object ? Object->if_contains(Name) : nullptr;
  if (!Member || !Member->is_number())
    return 0;
  return Member->to_number<std::uint64_t>();
}

struct host_page {
  endpoint Host;
  json::value Summary;
};

std::string lag(const json::value &Page, std::uint64_t Newest) {
  if (Page.is_null())
    return "not reached";
  std::uint64_t Version = numberOf(Page, "config_version");
  if (Version == 0)
    return "no configuration yet";
  if (Version < Newest)
    return "behind by " + std::to_string(Newest - Version);
  return "in force";
}

struct timed_decision {
  std::uint64_t AgeMs = 0;
  std::string Host;
  json::value Entry;
};

const json::array *decisionsOf(const json::value &Page) {
  const json::object *Object = Page.if_object();
  const json::value *Member =
      Object ? Object->if_contains("decisions") : nullptr;
  return Member ? Member->if_array() : nullptr;
}

std::string fieldsText(const json::value &Entry) {
  const json::value *Fields = Entry.as_object().if_contains("fields");
  const json::object *Object = Fields ? Fields->if_object() : nullptr;
  if (!Object)
    return {};
  std::string Text;
  for (const json::key_value_pair &Field : *Object) {
    Text += ' ';
    Text += Field.key();
    Text += '=';
    Text += cell(*Fields, Field.key());
  }
  return Text;
}

} // namespace

exit_code printStatus(const invocation &Call,
                      command_environment &Environment) {
  std::vector<host_page> Pages;
  std::uint64_t Newest = 0;
  bool AllReached = true;
  for (const endpoint &Host : Call.Settings.Hosts) {
    json::value Summary = readPage(Host, "summary", Environment);
    AllReached &= !Summary.is_null();
    Newest = std::max(Newest, numberOf(Summary, "config_version"));
    Pages.push_back({Host, std::move(Summary)});
  }
  text_table Table({"address", "host", "zone", "config", "state", "platform",
                    "in flight", "pending writes"});
  json::array Array;
  for (const host_page &Page : Pages) {
    std::string Away = cell(Page.Summary, "platform_away");
    if (Away != "-")
      Away = Away == "true" ? "away" : "answers";
    Table.add({Page.Host.Value, cell(Page.Summary, "host"),
               cell(Page.Summary, "zone"), cell(Page.Summary, "config_version"),
               lag(Page.Summary, Newest), Away, cell(Page.Summary, "in_flight"),
               cell(Page.Summary, "pending_outcome_writes")});
    Array.push_back(json::object{{"address", Page.Host.Value},
                                 {"state", lag(Page.Summary, Newest)},
                                 {"summary", Page.Summary}});
  }
  if (Call.Output == output_form::Json)
    Environment.Out << json::serialize(json::object{{"newest_version", Newest},
                                                    {"hosts", Array}})
                    << '\n';
  else
    Environment.Out << Table.text();
  return AllReached ? exit_code::Ok : exit_code::CannotBeReached;
}

exit_code printDecisions(const invocation &Call,
                         command_environment &Environment) {
  std::vector<timed_decision> Decisions;
  bool AllReached = true;
  for (const endpoint &Host : Call.Settings.Hosts) {
    json::value Page = readPage(Host, "decisions", Environment);
    const json::array *Entries = decisionsOf(Page);
    AllReached &= Entries != nullptr;
    if (!Entries)
      continue;
    for (const json::value &Entry : *Entries)
      Decisions.push_back({numberOf(Entry, "age_ms"), Host.Value, Entry});
  }
  std::stable_sort(Decisions.begin(), Decisions.end(),
                   [](const timed_decision &A, const timed_decision &B) {
                     return A.AgeMs < B.AgeMs;
                   });
  json::array Array;
  for (const timed_decision &Decision : Decisions) {
    if (Call.Output == output_form::Text) {
      Environment.Out << Decision.AgeMs << " ms ago  " << Decision.Host << "  E"
                      << cell(Decision.Entry, "event") << " "
                      << cell(Decision.Entry, "message")
                      << fieldsText(Decision.Entry) << '\n';
      continue;
    }
    json::object Object = Decision.Entry.as_object();
    Object["address"] = Decision.Host;
    Array.push_back(std::move(Object));
  }
  if (Call.Output == output_form::Json)
    Environment.Out << json::serialize(json::object{{"decisions", Array}})
                    << '\n';
  return AllReached ? exit_code::Ok : exit_code::CannotBeReached;
}

} // namespace jasminecroft::ctl
