// Stand-in of the platform's object API.
#include "jasminecroft/standins/object_store.h"

#include "detail/query.h"

#include <boost/json.hpp>

namespace jasminecroft::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view ObjectsPrefix = "/v1/objects/";

std::string versionHeader(std::uint64_t Version) {
  return "X-Object-Version: " + std::to_string(Version) + "\r\n";
}

} // namespace

object_store::object_store(asio::io_context &Io, std::string_view Address,
                           std::uint64_t Seed)
    : Io(Io), Generator(Seed),
      Server(serveHttp(Io, Address, [this](const exchange_ptr &Exchange) {
        onRequest(Exchange);
      })) {}

void object_store::onRequest(const exchange_ptr &Exchange) {
  if (Exchange->target() == "/test/steer") {
    onSteer(Exchange);
    return;
  }
  if (Exchange->target() == "/test/calls") {
    json::object Counts;
    for (const std::pair<const std::string, std::uint64_t> &Entry : Calls)
      Counts[Entry.first] = Entry.second;
    Exchange->respond(200, json::serialize(Counts));
    return;
  }
  if (Faults.Hang)
    return;
  if (Faults.Refuse) {
    Exchange->respond(503, "{}");
    return;
  }
  if (Faults.Delay.count() == 0) {
    serve(Exchange);
    return;
  }
  std::shared_ptr<asio::steady_timer> Timer =
      std::make_shared<asio::steady_timer>(Io, Faults.Delay);
  Timer->async_wait(
      [this, Exchange, Timer](boost::system::error_code) { serve(Exchange); });
}

void object_store::onSteer(const exchange_ptr &Exchange) {
  json::error_code Error;
  json::value Value = json::parse(Exchange->body(), Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  if (!Object) {
    Exchange->respond(400, "{}");
    return;
  }
  store_faults New;
  if (const json::value *Refuse = Object->if_contains("refuse"))
    New.Refuse = Refuse->as_bool();
  if (const json::value *Hang = Object->if_contains("hang"))
    New.Hang = Hang->as_bool();
  if (const json::value *Lose = Object->if_contains("lose_answers_permille"))
    New.LoseAnswersPermille = static_cast<std::uint32_t>(Lose->as_int64());
  if (const json::value *Delay = Object->if_contains("delay_ms"))
    New.Delay = std::chrono::milliseconds(Delay->as_int64());
  Faults = New;
  Exchange->respond(200, "{}");
}

void object_store::serve(const exchange_ptr &Exchange) {
  detail::split_target Target = detail::splitTarget(Exchange->target());
  std::string Method(Exchange->method());
  if (Target.Path == "/v1/list") {
    ++Calls["LIST"];
    list(Exchange, Target.Query);
    return;
  }
  if (!Target.Path.starts_with(ObjectsPrefix)) {
    Exchange->respond(404, "{}");
    return;
  }
  std::string Key = Target.Path.substr(ObjectsPrefix.size());
  std::optional<std::string> After = detail::queryValue(Target.Query, "after");
  ++Calls[(After ? "WATCH" : Method) + " " + Key.substr(0, Key.find('/'))];
  if (After) {
    std::uint64_t Wait =
        detail::numberOr(detail::queryValue(Target.Query, "wait_ms"), 0);
    watch(Exchange, Key, detail::numberOr(After, 0),
          std::chrono::milliseconds(Wait));
  } else if (Method == "GET") {
    get(Exchange, Key);
  } else if (Method == "PUT") {
    put(Exchange, Key);
  } else if (Method == "DELETE") {
    remove(Exchange, Key);
  } else {
    Exchange->respond(405, "{}");
  }
}

void object_store::answerFound(const exchange_ptr &Exchange,
                               const stored &Object) {
  Exchange->respond(200, Object.Value, versionHeader(Object.Version));
}

void object_store::get(const exchange_ptr &Exchange, const std::string &Key) {
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    Exchange->respond(404, "{}");
  else
    answerFound(Exchange, Found->second);
}

void object_store::watch(const exchange_ptr &Exchange, const std::string &Key,
                         std::uint64_t After, std::chrono::milliseconds Wait) {
  auto Found = Objects.find(Key);
  if (Found != Objects.end() && Found->second.Version > After) {
    answerFound(Exchange, Found->second);
    return;
  }
  std::shared_ptr<asio::steady_timer> Expiry =
      std::make_shared<asio::steady_timer>(Io, Wait);
  auto Position =
      Watchers.insert(Watchers.end(), {Key, After, Exchange, Expiry});
  Expiry->async_wait([this, Position](boost::system::error_code Error) {
    if (Error)
      return;
    Position->Exchange->respond(304, "");
    Watchers.erase(Position);
  });
}

void object_store::put(const exchange_ptr &Exchange, const std::string &Key) {
  auto Found = Objects.find(Key);
  std::string_view Match = Exchange->header("If-Match");
  bool Holds = false;
  if (Exchange->header("If-None-Match") == "*")
    Holds = Found == Objects.end();
  else if (!Match.empty())
    Holds = Found != Objects.end() &&
            std::to_string(Found->second.Version) == Match;
  else
    Holds = true;
  if (!Holds) {
    Exchange->respond(412, "{}");
    return;
  }
  Objects[Key] = {Exchange->body(), ++LastVersion};
  written(Exchange, Key);
}

void object_store::remove(const exchange_ptr &Exchange,
                          const std::string &Key) {
  auto Found = Objects.find(Key);
  bool Holds =
      Found != Objects.end() &&
      std::to_string(Found->second.Version) == Exchange->header("If-Match");
  if (!Holds) {
    Exchange->respond(412, "{}");
    return;
  }
  Objects.erase(Found);
  Exchange->respond(200, "{}", versionHeader(++LastVersion));
}

void object_store::written(const exchange_ptr &Exchange,
                           const std::string &Key) {
  bool Lost = Generator() % 1000 < Faults.LoseAnswersPermille;
  if (Lost)
    Exchange->breakConnection();
  else
    Exchange->respond(200, "{}", versionHeader(LastVersion));
  wakeWatchers(Key);
}

void object_store::wakeWatchers(const std::string &Key) {
  for (auto It = Watchers.begin(); It != Watchers.end();) {
    if (It->Key != Key) {
      ++It;
      continue;
    }
    answerFound(It->Exchange, Objects.at(Key));
    It->Expiry->cancel();
    It = Watchers.erase(It);
  }
}

void object_store::list(const exchange_ptr &Exchange, std::string_view Query) {
  constexpr std::uint64_t DefaultLimit = 1000;
  std::string Prefix = detail::queryValue(Query, "prefix").value_or("");
  std::uint64_t Limit =
      detail::numberOr(detail::queryValue(Query, "limit"), DefaultLimit);
  json::array Keys;
  std::string After = detail::queryValue(Query, "after").value_or("");
  for (auto It = After < Prefix ? Objects.lower_bound(Prefix)
                                : Objects.upper_bound(After);
       It != Objects.end() && It->first.starts_with(Prefix) &&
       Keys.size() < Limit;
       ++It)
    Keys.push_back(
        json::object{{"key", It->first}, {"version", It->second.Version}});
  Exchange->respond(200, json::serialize(json::object{{"keys", Keys}}));
}

} // namespace jasminecroft::standins
