// The store's calls, and the answers of backend servers.
#include "jasminecroft/standins/serving_platform.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

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
  ++Revision;
  json::object Meta{{"name", Name}, {"revision", Revision}};
  json::value Object =
      json::object{{"meta", Meta}, {"spec", std::move(Spec)}, {"status", {}}};
  Kinds[Kind][Name] = Object;
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
  ++Revision;
  json::value Object = Kinds[Kind][Name];
  Object.as_object()["meta"].as_object()["revision"] = Revision;
  Kinds[Kind].erase(Name);
  record(Kind, std::move(Object), true);
}

bool users_store::has(const std::string &Kind, const std::string &Name) const {
  auto Found = Kinds.find(Kind);
  return Found != Kinds.end() && Found->second.contains(Name);
}

std::size_t users_store::calls(const std::string &Kind) const {
  auto Found = CallsByKind.find(Kind);
  return Found == CallsByKind.end() ? 0 : Found->second;
}

void users_store::record(const std::string &Kind, json::value Object,
                         bool Gone) {
  Changes.push_back(
      {Revision, Kind,
       json::object{{"object", std::move(Object)}, {"tombstone", Gone}}});
  for (auto It = Watches.begin(); It != Watches.end();)
    It = answerWatch(*It, false) ? Watches.erase(It) : std::next(It);
}

bool users_store::answerWatch(const waiting_watch &Watch, bool Ended) {
  json::array Events;
  for (const change &Change : Changes)
    if (Change.Kind == Watch.Kind && Change.Revision > Watch.Since)
      Events.push_back(Change.Event);
  if (Events.empty() && !Ended)
    return false;
  Watch.Timer->cancel();
  Watch.Exchange->respond(200,
                          serialize(json::object{{"events", std::move(Events)},
                                                 {"current_rev", Revision}}));
  return true;
}

void users_store::onRequest(const exchange_ptr &Exchange) {
  ++Calls;
  std::string_view Target = Exchange->target();
  if (!Target.starts_with(ObjectsPrefix)) {
    Exchange->respond(404, "{}");
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
    Exchange->respond(200, "{}");
    return;
  }
  json::value Body = json::parse(Exchange->body());
  if (Exchange->method() == "POST") {
    Name = Body.at("meta").at("name").as_string().c_str();
    if (has(Kind, Name)) {
      Exchange->respond(409, serialize(Kinds[Kind][Name]));
      return;
    }
  }
  put(Kind, Name, Body.at("spec"));
  Exchange->respond(200, serialize(Kinds[Kind][Name]));
}

void users_store::list(const exchange_ptr &Exchange, const std::string &Kind) {
  json::array Entries;
  for (const std::pair<const std::string, json::value> &Object : Kinds[Kind])
    Entries.push_back(Object.second);
  Exchange->respond(200, serialize(json::object{{"entries", std::move(Entries)},
                                                {"has_more", false},
                                                {"current_rev", Revision}}));
}

void users_store::watch(const exchange_ptr &Exchange, const std::string &Kind,
                        std::uint64_t Since, std::int64_t WaitMs) {
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

users_backend::users_backend(asio::io_context &Context,
                             std::string_view Address,
                             users_backend_options Options)
    : Context(Context), Options(std::move(Options)),
      Server(serveHttp(Context, Address, [this](const exchange_ptr &Exchange) {
        onRequest(Exchange);
      })) {}

void users_backend::later(std::function<void()> Action) {
  std::shared_ptr<asio::steady_timer> Timer =
      std::make_shared<asio::steady_timer>(Context, Options.Work);
  Timer->async_wait([Timer, Action = std::move(Action)](
                        boost::system::error_code) { Action(); });
}

// Returns whether the request was turned away without being run.
bool users_backend::refuse(const exchange_ptr &Exchange, backend_act Act) {
  std::string Headers = "X-Not-Executed: 1\r\nX-Replica-Load: 6,24,6\r\n";
  int Status = Act == backend_act::RefuseTooMany ? 429 : 503;
  switch (Act) {
  case backend_act::Refuse:
  case backend_act::RefuseTooMany:
  case backend_act::RefuseAndRepeat:
    Headers +=
        "X-Request-Id: " + std::string(Exchange->header("X-Request-Id")) +
        "\r\n";
    break;
  case backend_act::RefuseWithPause:
    Headers += "Retry-After: 0.2\r\n";
    break;
  case backend_act::RefuseUnnamed:
  case backend_act::RefuseUnnamedAndRepeat:
    break;
  case backend_act::Close:
    Exchange->breakConnection();
    return true;
  default:
    return false;
  }
  if (Act == backend_act::RefuseAndRepeat ||
      Act == backend_act::RefuseUnnamedAndRepeat)
    repeat(Exchange,
           "HTTP/1.1 503 \r\n" + Headers + "Content-Length: 0\r\n\r\n");
  Exchange->respond(Status, "", Headers);
  return true;
}

void users_backend::repeat(const exchange_ptr &Exchange, std::string Answer) {
  Repeated[Exchange->connectionNumber()] = std::move(Answer);
}

void users_backend::onRequest(const exchange_ptr &Exchange) {
  auto Copy = Repeated.find(Exchange->connectionNumber());
  if (Copy != Repeated.end()) {
    Exchange->sendRaw(Copy->second);
    Repeated.erase(Copy);
  }
  std::string_view Expected = Exchange->header("X-Expect-Replica");
  if (!Expected.empty() && Expected != Options.Id)
    Exchange->respond(421, "", "X-Replica-Id: " + Options.Id + "\r\n");
  else if (Options.Full)
    Exchange->respond(503, "", "X-Not-Executed: 1\r\n");
  else if (Exchange->target() == "/stage-run")
    makePieces(Exchange);
  else if (Exchange->target() == "/stage-free")
    Exchange->respond(200, "{}");
  else if (Exchange->target() == "/report")
    Exchange->respond(200, R"({"busy":false,"queued":0,"free_mb":100})");
  else
    runRequest(Exchange);
}

void users_backend::makePieces(const exchange_ptr &Exchange) {
  if (Options.Act && refuse(Exchange, Options.Act()))
    return;
  ++PieceCalls;
  json::value Body = json::parse(Exchange->body());
  json::array Entries;
  for (const json::value &Entry : Body.at("entries").as_array()) {
    std::string Name = std::string(Entry.at("id").as_string().c_str()) + "." +
                       std::to_string(Entry.at("stage").as_int64()) + "." +
                       std::to_string(Entry.at("piece").as_int64());
    Made.push_back(Name);
    Entries.push_back(json::object{{"handle", Options.Id + "/" + Name}});
  }
  std::string Text =
      json::serialize(json::object{{"entries", std::move(Entries)}});
  later([Exchange, Text] {
    Exchange->respond(200, Text, "X-Replica-Load: 0,0,1\r\n");
  });
}

void users_backend::runRequest(const exchange_ptr &Exchange) {
  std::string Id(Exchange->header("X-Request-Id"));
  for (const char *Name : {"Authorization", "X-Hold", "X-Pin-Ms"})
    Forbidden = Forbidden || !Exchange->header(Name).empty();
  Workspaces.insert(std::string(Exchange->header("X-Tenant")));
  backend_act Act = Options.Act ? Options.Act() : backend_act::Run;
  if (refuse(Exchange, Act))
    return;
  Ran.push_back(Id);
  std::string Headers = "X-Request-Id: " + Id +
                        "\r\nX-Replica-Stamp: " + Options.Id + "." + Id +
                        "\r\nX-Replica-Load: 1,0,6\r\n";
  std::string Body = "{\"by\":\"" + Options.Id + "\",\"id\":\"" + Id + "\"}";
  bool Streamed = !Exchange->header("X-Model").empty();
  if (Streamed && Act == backend_act::RunAndRepeat)
    Act = backend_act::Run;
  if (Act != backend_act::Run) {
    failAfterRun(Exchange, Act, Headers, Body);
    return;
  }
  if (Streamed) {
    stream(Exchange, Headers);
    return;
  }
  later([Exchange, Body, Headers] { Exchange->respond(200, Body, Headers); });
}

void users_backend::failAfterRun(const exchange_ptr &Exchange, backend_act Act,
                                 const std::string &Headers,
                                 const std::string &Body) {
  std::string Head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
      "\r\n" + Headers + "\r\n";
  later([this, Exchange, Act, Headers, Body, Head] {
    switch (Act) {
    case backend_act::RunAndFail:
      Exchange->respond(500, Body, Headers);
      return;
    case backend_act::RunAndAnswerBusy:
      Exchange->respond(503, Body, Headers);
      return;
    case backend_act::RunAndAnswerTooMany:
      Exchange->respond(429, Body, Headers);
      return;
    case backend_act::RunAndAnswerTimeout:
      Exchange->respond(408, Body, Headers);
      return;
    case backend_act::RunAndAnswerUnsigned:
      Exchange->respond(503, Body);
      return;
    case backend_act::RunAndRepeat:
      repeat(Exchange, Head + Body);
      Exchange->respond(200, Body, Headers);
      return;
    case backend_act::RunAndCutHead:
      Exchange->sendRaw(Head.substr(0, Head.size() / 2));
      later([Exchange] { Exchange->breakConnection(); });
      return;
    case backend_act::RunAndCutBody:
      Exchange->sendRaw(Head + Body.substr(0, Body.size() / 2));
      later([Exchange] { Exchange->breakConnection(); });
      return;
    case backend_act::RunAndHang:
      return;
    default:
      Exchange->breakConnection();
      return;
    }
  });
}

void users_backend::stream(const exchange_ptr &Exchange,
                           const std::string &Headers) {
  std::string After(Exchange->header("Last-Event-Id"));
  unsigned First =
      After.empty() ? 1 : static_cast<unsigned>(std::stoul(After)) + 1;
  std::string Inputs(Exchange->header("X-Inputs"));
  Exchange->beginEvents(Headers);
  for (unsigned Event = First; Event <= Options.Events; ++Event) {
    Exchange->sendText("id: " + std::to_string(Event) + "\ndata: " + Inputs +
                       "\n\n");
    if (Event == Options.CutAfter) {
      later([Exchange] { Exchange->breakConnection(); });
      return;
    }
  }
  later([Exchange] { Exchange->endEvents(); });
}

} // namespace jasminecroft::standins
