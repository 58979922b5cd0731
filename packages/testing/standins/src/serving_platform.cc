// The store's calls.
#include "jasminecroft/standins/serving_platform.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace jasminecroft::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view ObjectsPrefix = "/objects/";

std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t Query = Target.find('?');
  while (Query != std::string_view::npos) {
    std::string_view Rest = Target.substr(Query + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.starts_with(std::string(Name) + "="))
      return std::string(Pair.substr(Name.size() + 1));
    std::size_t Next = Rest.find('&');
    Query = Next == std::string_view::npos ? Next : Query + 1 + Next;
  }
  return {};
}

} // namespace

users_store::users_store(asio::io_context &Context, std::string_view Address)
    : Context(Context),
      Server(serveHttp(Context, Address, [this](const exchange_ptr &Exchange) {
        onRequest(Exchange);
      })) {}

void users_store::put(const std::string &Kind, const std::string &Name,
                      json::value Spec) {
  ++Held.Revision;
  json::object Meta{{"name", Name}, {"revision", Held.Revision}};
  json::value Object =
      json::object{{"meta", Meta}, {"spec", std::move(Spec)}, {"status", {}}};
  Held.Kinds[Kind][Name] = Object;
  record(Kind, std::move(Object), false);
}

void users_store::putText(const std::string &Kind, const std::string &Name,
                          std::string SpecText) {
  std::string Mark = "raw spec " + std::to_string(RawSpecs.size());
  RawSpecs['"' + Mark + '"'] = std::move(SpecText);
  put(Kind, Name, json::value(Mark));
}

std::string users_store::serialize(const json::value &Value) const {
  std::string Text = json::serialize(Value);
  for (const std::pair<const std::string, std::string> &Raw : RawSpecs)
    for (std::size_t At = Text.find(Raw.first); At != std::string::npos;
         At = Text.find(Raw.first, At + Raw.second.size()))
      Text.replace(At, Raw.first.size(), Raw.second);
  return Text;
}

void users_store::remove(const std::string &Kind, const std::string &Name) {
  if (!has(Kind, Name))
    return;
  ++Held.Revision;
  json::value Object = Held.Kinds[Kind][Name];
  Object.as_object()["meta"].as_object()["revision"] = Held.Revision;
  Held.Kinds[Kind].erase(Name);
  record(Kind, std::move(Object), true);
}

bool users_store::has(const std::string &Kind, const std::string &Name) const {
  auto Found = Held.Kinds.find(Kind);
  return Found != Held.Kinds.end() && Found->second.contains(Name);
}

std::size_t users_store::calls(const std::string &Kind) const {
  auto Found = CallsByKind.find(Kind);
  return Found == CallsByKind.end() ? 0 : Found->second;
}

void users_store::record(const std::string &Kind, json::value Object,
                         bool Gone) {
  Held.Changes.push_back(
      {Held.Revision, Kind,
       json::object{{"object", std::move(Object)}, {"tombstone", Gone}}});
  for (auto It = Watches.begin(); It != Watches.end();)
    It = answerWatch(*It, false) ? Watches.erase(It) : std::next(It);
}

bool users_store::answerWatch(const waiting_watch &Watch, bool Ended) {
  json::array Events;
  for (const change &Change : Held.Changes)
    if (Change.Kind == Watch.Kind && Change.Revision > Watch.Since)
      Events.push_back(Change.Event);
  if (Events.empty() && !Ended)
    return false;
  Watch.Timer->cancel();
  answer(Watch.Exchange, 200,
         json::object{{"events", std::move(Events)},
                      {"current_rev", Held.Revision}});
  return true;
}

void users_store::onRequest(const exchange_ptr &Exchange) {
  ++Calls;
  std::string_view Target = Exchange->target();
  if (!Target.starts_with(ObjectsPrefix)) {
    answer(Exchange, 404, json::object());
    return;
  }
  std::string Path(Target.substr(ObjectsPrefix.size(),
                                 Target.find('?') - ObjectsPrefix.size()));
  std::string Kind = Path.substr(0, Path.find('/'));
  ++CallsByKind[Kind];
  std::string Name =
      Kind.size() < Path.size() ? Path.substr(Kind.size() + 1) : "";
  if (Exchange->method() == "GET") {
    std::string Since = queryValue(Target, "watch");
    if (Since.empty())
      list(Exchange, Kind);
    else
      watch(Exchange, Kind, std::stoull(Since),
            std::stoll(queryValue(Target, "wait_ms")));
    return;
  }
  if (Exchange->method() == "DELETE") {
    remove(Kind, Name);
    answer(Exchange, 200, json::object());
    return;
  }
  write(Exchange, Kind, std::move(Name));
}

void users_store::write(const exchange_ptr &Exchange, const std::string &Kind,
                        std::string Name) {
  json::value Body = json::parse(Exchange->body());
  const json::object &Meta = Body.at("meta").as_object();
  bool Create = Exchange->method() == "POST";
  if (Create)
    Name = Meta.at("name").as_string().c_str();
  if (!Create && !has(Kind, Name)) {
    answer(Exchange, 404, json::object());
    return;
  }
  if (has(Kind, Name)) {
    const json::value &Present = Held.Kinds[Kind][Name];
    const json::value *Expected = Meta.if_contains("revision");
    bool Other = Expected && Expected->to_number<std::uint64_t>() !=
                                 Present.at("meta").at("revision").as_uint64();
    if (Create || Other) {
      answer(Exchange, 409, Present);
      return;
    }
  }
  put(Kind, Name, Body.at("spec"));
  answer(Exchange, 200, Held.Kinds[Kind][Name]);
}

users_store::store_copy users_store::copy() const {
  store_copy Copy;
  Copy.Held = Held;
  return Copy;
}

void users_store::restore(const store_copy &Copy) {
  Held = Copy.Held;
  ++Era;
  for (const waiting_watch &Watch : std::exchange(Watches, {})) {
    Watch.Timer->cancel();
    Watch.Exchange->breakConnection();
  }
}

void users_store::answer(const exchange_ptr &Exchange, int Status,
                         const json::value &Body) const {
  Exchange->respond(Status, serialize(Body),
                    "Store-Era: " + std::to_string(Era) + "\r\n");
}

void users_store::list(const exchange_ptr &Exchange, const std::string &Kind) {
  json::array Entries;
  for (const std::pair<const std::string, json::value> &Object :
       Held.Kinds[Kind])
    Entries.push_back(Object.second);
  answer(Exchange, 200,
         json::object{{"entries", std::move(Entries)},
                      {"has_more", false},
                      {"current_rev", Held.Revision}});
}

void users_store::watch(const exchange_ptr &Exchange, const std::string &Kind,
                        std::uint64_t Since, std::int64_t WaitMs) {
  if (Since > Held.Revision) {
    answer(Exchange, 410, json::object());
    return;
  }
  waiting_watch Watch{Kind, Since, Exchange,
                      std::make_shared<asio::steady_timer>(
                          Context, std::chrono::milliseconds(WaitMs))};
  if (answerWatch(Watch, false))
    return;
  Watches.push_back(Watch);
  Watch.Timer->async_wait([this, Exchange](boost::system::error_code Error) {
    if (Error)
      return;
    auto Found = std::find_if(Watches.begin(), Watches.end(),
                              [&Exchange](const waiting_watch &Waiting) {
                                return Waiting.Exchange == Exchange;
                              });
    if (Found != Watches.end()) {
      answerWatch(*Found, true);
      Watches.erase(Found);
    }
  });
}

} // namespace jasminecroft::standins
