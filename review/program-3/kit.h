// Stand-ins of the users' platform for the scripts of this review: the store,
// replicas, clients, and entry hosts as processes. One thread a connection,
// blocking sockets, loopback addresses only.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point Begin = clock::now();
inline std::atomic<bool> Ending{false};

inline long nowMs() {
  return std::chrono::duration_cast<milliseconds>(clock::now() - Begin).count();
}
inline void sleepMs(long Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(milliseconds(Ms));
}

/// Lines of what was sent, answered and run, with the time since the start.
class record {
public:
  static void open(const std::string &File) {
    Out = std::fopen(File.c_str(), "w");
  }
  static void line(const char *Format, ...)
      __attribute__((format(printf, 1, 2))) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::va_list Arguments;
    va_start(Arguments, Format);
    std::FILE *To = Out ? Out : stdout;
    std::fprintf(To, "%8ld ", nowMs());
    std::vfprintf(To, Format, Arguments);
    std::fputc('\n', To);
    std::fflush(To);
    va_end(Arguments);
  }

private:
  static inline std::FILE *Out = nullptr;
  static inline std::mutex Mutex;
};

inline bool sameName(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return std::tolower(static_cast<unsigned char>(X)) ==
                  std::tolower(static_cast<unsigned char>(Y));
         });
}

struct message {
  std::string First; // request line or status line
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string get(const std::string &Name) const {
    for (const auto &Header : Headers)
      if (sameName(Header.first, Name))
        return Header.second;
    return {};
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    std::size_t From = First.find(' ') + 1;
    return First.substr(From, First.find(' ', From) - From);
  }
};

/// One connected socket; reads give up at a time.
class connection {
public:
  explicit connection(int Fd = -1) : Fd(Fd) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static std::unique_ptr<connection> to(const std::string &Ip, int Port,
                                        long LimitMs = 1000) {
    int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto Result = std::make_unique<connection>(Fd);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    int Flags = fcntl(Fd, F_GETFL);
    fcntl(Fd, F_SETFL, Flags | O_NONBLOCK);
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
        0) {
      if (errno != EINPROGRESS)
        return nullptr;
      pollfd Poll{Fd, POLLOUT, 0};
      int Error = 0;
      socklen_t Size = sizeof Error;
      if (::poll(&Poll, 1, static_cast<int>(LimitMs)) != 1 ||
          getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
          Error != 0)
        return nullptr;
    }
    fcntl(Fd, F_SETFL, Flags);
    Result->noDelay();
    return Result;
  }

  void noDelay() const {
    int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  }
  bool send(const std::string &Text) const {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      ssize_t Sent =
          ::send(Fd, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<std::size_t>(Sent);
    }
    return true;
  }
  /// Appends what arrives to Buffer; false at the end, on an error or in time.
  bool more(clock::time_point Until) {
    long Left =
        std::chrono::duration_cast<milliseconds>(Until - clock::now()).count();
    pollfd Poll{Fd, POLLIN, 0};
    TimedOut = Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left)) <= 0;
    if (TimedOut)
      return false;
    char Text[16384];
    ssize_t Got = ::recv(Fd, Text, sizeof Text, 0);
    if (Got <= 0)
      return false;
    Buffer.append(Text, static_cast<std::size_t>(Got));
    return true;
  }
  /// Whether the peer has closed; nothing is read.
  bool closedByPeer(long WaitMs) const {
    pollfd Poll{Fd, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(WaitMs)) != 1)
      return false;
    char Byte = 0;
    return ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
           (Poll.revents & (POLLERR | POLLHUP)) != 0;
  }
  bool head(message &Into, clock::time_point Until) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more(Until))
        return false;
    std::istringstream Lines(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    std::string Line;
    std::getline(Lines, Line);
    Into.First = Line.substr(0, Line.find('\r'));
    while (std::getline(Lines, Line)) {
      Line = Line.substr(0, Line.find('\r'));
      std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::size_t From = Line.find_first_not_of(' ', Colon + 1);
      Into.Headers.emplace_back(Line.substr(0, Colon), From == std::string::npos
                                                           ? ""
                                                           : Line.substr(From));
    }
    return true;
  }
  bool take(std::size_t Size, std::string &Into, clock::time_point Until) {
    while (Buffer.size() < Size)
      if (!more(Until))
        return false;
    Into = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return true;
  }
  bool body(message &Into, clock::time_point Until,
            const std::function<void(const std::string &)> &OnChunk = {}) {
    if (sameName(Into.get("Transfer-Encoding"), "chunked")) {
      for (;;) {
        std::size_t End = 0;
        while ((End = Buffer.find("\r\n")) == std::string::npos)
          if (!more(Until))
            return false;
        std::size_t Size = std::stoul(Buffer.substr(0, End), nullptr, 16);
        Buffer.erase(0, End + 2);
        std::string Chunk;
        if (!take(Size + 2, Chunk, Until))
          return false;
        if (Size == 0)
          return true;
        Chunk.resize(Size);
        Into.Body += Chunk;
        if (OnChunk)
          OnChunk(Chunk);
      }
    }
    std::string Length = Into.get("Content-Length");
    return Length.empty() || take(std::stoul(Length), Into.Body, Until);
  }
  bool read(message &Into, clock::time_point Until) {
    return head(Into, Until) && body(Into, Until);
  }
  void reset() {
    linger Linger{1, 0};
    if (Fd >= 0)
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
    close();
  }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  int fd() const { return Fd; }

  std::string Buffer;
  bool TimedOut = false;

private:
  int Fd;
};

/// Listens on an address and runs Handler for each connection.
class listener {
public:
  using handler = std::function<void(connection &)>;
  listener(const std::string &Ip, int Port, handler Handler)
      : Ip(Ip), Handler(std::move(Handler)) {
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    socklen_t Size = sizeof Address;
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(Fd, 1024) != 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", Ip.c_str(), Port);
      std::_Exit(2);
    }
    getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
    Bound = ntohs(Address.sin_port);
    std::thread([this] { accept(); }).detach();
  }
  int port() const { return Bound; }
  std::string address() const { return Ip + ":" + std::to_string(Bound); }

private:
  void accept() {
    for (;;) {
      int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      std::thread([this, Accepted] {
        connection Connection(Accepted);
        Connection.noDelay();
        Handler(Connection);
      }).detach();
    }
  }

  std::string Ip;
  handler Handler;
  int Fd = -1;
  int Bound = 0;
};

inline std::string answer(int Status, const std::string &Headers,
                          const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store: objects by kind and name, lists and watches.
class store {
public:
  explicit store(const std::string &Ip)
      : Server(Ip, 0, [this](connection &C) { serve(C); }) {}
  std::string address() const { return Server.address(); }

  std::uint64_t put(const std::string &Kind, const std::string &Name,
                    const std::string &Spec) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return write(Kind, Name, Spec);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    std::lock_guard<std::mutex> Lock(Mutex);
    erase(Kind, Name);
  }

private:
  struct object {
    std::string Spec;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
  };
  struct change {
    std::uint64_t Revision;
    std::string Kind;
    std::string Event;
  };

  static std::string text(const std::string &Name, const object &Object) {
    return "{\"meta\":{\"name\":" + json::serialize(json::string(Name)) +
           ",\"revision\":" + std::to_string(Object.Revision) +
           ",\"created\":" + std::to_string(Object.Created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + Object.Spec +
           ",\"status\":null}";
  }
  std::uint64_t write(const std::string &Kind, const std::string &Name,
                      const std::string &Spec) {
    object &Object = Kinds[Kind][Name];
    if (Object.Spec == Spec)
      return Object.Revision;
    Object.Spec = Spec;
    Object.Revision = ++Revision;
    if (Object.Created == 0)
      Object.Created = Revision;
    Changes.push_back(
        {Revision, Kind,
         "{\"tombstone\":false,\"object\":" + text(Name, Object) + "}"});
    Changed.notify_all();
    return Revision;
  }
  void erase(const std::string &Kind, const std::string &Name) {
    auto Found = Kinds[Kind].find(Name);
    if (Found == Kinds[Kind].end())
      return;
    Found->second.Revision = ++Revision;
    Changes.push_back(
        {Revision, Kind,
         "{\"tombstone\":true,\"object\":" + text(Name, Found->second) + "}"});
    Kinds[Kind].erase(Found);
    Changed.notify_all();
  }
  void serve(connection &C) {
    message Request;
    while (C.read(Request, clock::now() + std::chrono::hours(1))) {
      if (!C.send(handle(Request)))
        return;
      Request = message();
    }
  }
  static std::string query(const std::string &Target, const std::string &Key) {
    std::size_t From = Target.find('?');
    while (From != std::string::npos) {
      std::size_t End = Target.find('&', From + 1);
      std::string Part = Target.substr(
          From + 1, End == std::string::npos ? End : End - From - 1);
      if (Part.rfind(Key + "=", 0) == 0)
        return Part.substr(Key.size() + 1);
      From = End;
    }
    return {};
  }
  static std::string reply(int Status, const std::string &Body) {
    return answer(Status, "Content-Type: application/json\r\n", Body);
  }
  std::string handle(const message &Request) {
    std::string Target = Request.target();
    std::string Path = Target.substr(0, Target.find('?'));
    const std::string Root = "/objects/";
    if (Path.rfind(Root, 0) != 0)
      return reply(404, "{}");
    Path = Path.substr(Root.size());
    std::string Kind = Path.substr(0, Path.find('/'));
    std::string Name = Path.find('/') == std::string::npos
                           ? ""
                           : Path.substr(Path.find('/') + 1);
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Request.method() == "GET")
      return Name.empty() ? read(Kind, Target, Lock) : one(Kind, Name);
    return modify(Request, Kind, Name);
  }
  std::string one(const std::string &Kind, const std::string &Name) {
    auto Found = Kinds[Kind].find(Name);
    return Found == Kinds[Kind].end() ? reply(404, "{}")
                                      : reply(200, text(Name, Found->second));
  }
  std::string read(const std::string &Kind, const std::string &Target,
                   std::unique_lock<std::mutex> &Lock) {
    std::string Watch = query(Target, "watch");
    std::string Body;
    if (Watch.empty()) {
      std::string After = query(Target, "after");
      for (const auto &Entry : Kinds[Kind])
        if (After.empty() || Entry.first > After)
          Body += (Body.empty() ? "" : ",") + text(Entry.first, Entry.second);
      return reply(200, "{\"entries\":[" + Body +
                            "],\"has_more\":false,\"current_rev\":" +
                            std::to_string(Revision) + "}");
    }
    std::uint64_t Since = std::stoull(Watch);
    std::string Wait = query(Target, "wait_ms");
    clock::time_point Until =
        clock::now() + milliseconds(Wait.empty() ? 0 : std::stoll(Wait));
    auto News = [&] {
      return std::any_of(Changes.begin(), Changes.end(), [&](const change &C) {
        return C.Kind == Kind && C.Revision > Since;
      });
    };
    Changed.wait_until(Lock, Until, News);
    for (const change &C : Changes)
      if (C.Kind == Kind && C.Revision > Since)
        Body += (Body.empty() ? "" : ",") + C.Event;
    return reply(200, "{\"events\":[" + Body + "],\"current_rev\":" +
                          std::to_string(Revision) + "}");
  }
  std::string modify(const message &Request, const std::string &Kind,
                     std::string Name) {
    if (Request.method() == "DELETE") {
      if (Kinds[Kind].count(Name) == 0)
        return reply(404, "{}");
      erase(Kind, Name);
      return reply(200, "{}");
    }
    json::object Body = json::parse(Request.Body).as_object();
    json::object Meta = Body.at("meta").as_object();
    bool Create = Request.method() == "POST";
    if (Create)
      Name = json::value_to<std::string>(Meta.at("name"));
    bool Exists = Kinds[Kind].count(Name) != 0;
    if (Create && Exists)
      return reply(409, text(Name, Kinds[Kind][Name]));
    if (!Create && !Exists)
      return reply(404, "{}");
    if (!Create && Meta.if_contains("revision") &&
        json::value_to<std::uint64_t>(Meta.at("revision")) !=
            Kinds[Kind][Name].Revision)
      return reply(409, text(Name, Kinds[Kind][Name]));
    write(Kind, Name, json::serialize(Body.at("spec")));
    return reply(200, text(Name, Kinds[Kind][Name]));
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, object>> Kinds;
  std::vector<change> Changes;
  std::uint64_t Revision = 1;
  listener Server;
};

/// A replica of a service: answers each request by Handler, which returns
/// false to close the connection.
class replica {
public:
  using handler = std::function<bool(connection &, const message &)>;
  replica(store &Store, const std::string &Ip, const std::string &Service,
          const std::string &Id, const std::string &Zone, handler Handler)
      : Store(Store), Service(Service), Id(Id), Zone(Zone),
        Handler(std::move(Handler)),
        Server(Ip, 0, [this](connection &C) { serve(C); }) {
    Born = std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    list("ready");
  }
  std::string spec(const std::string &State) const {
    return "{\"service\":\"" + Service + "\",\"address\":\"" +
           Server.address() + "\",\"az\":\"" + Zone +
           "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + State +
           "\",\"cold_left_ms\":0,\"born\":" + std::to_string(Born) +
           ",\"seq\":1}";
  }
  void list(const std::string &State) { Store.put("servers", Id, spec(State)); }
  void unlist() { Store.remove("servers", Id); }
  std::string stamp(const message &Request) const {
    return "X-Request-Id: " + Request.get("X-Request-Id") +
           "\r\nX-Replica-Stamp: " + Id + "." + Request.get("X-Request-Id") +
           "\r\nX-Replica-Load: 1,0,64\r\n";
  }
  std::string address() const { return Server.address(); }

  store &Store;
  std::string Service;
  std::string Id;
  std::string Zone;
  long long Born = 0;

private:
  void serve(connection &C) {
    message Request;
    while (C.read(Request, clock::now() + std::chrono::hours(1))) {
      std::string Expected = Request.get("X-Expect-Replica");
      if (!Expected.empty() && Expected != Id) {
        if (!C.send(answer(421, "X-Replica-Id: " + Id + "\r\n", "")))
          return;
      } else if (!Handler(C, Request)) {
        return;
      }
      Request = message();
    }
  }
  handler Handler;
  listener Server;
};

/// Answers calls for pieces, frees and reports; Work: time of one call.
inline replica::handler stageHandler(const std::string &Id, long WorkMs,
                                     std::shared_ptr<std::string> Address) {
  auto Count = std::make_shared<std::atomic<unsigned long>>(0);
  auto Busy = std::make_shared<std::mutex>();
  return [Id, WorkMs, Count, Busy, Address](connection &C,
                                            const message &Request) {
    if (Request.target() == "/stage-free")
      return C.send(answer(200, "", ""));
    if (Request.target() == "/report")
      return C.send(answer(200, "Content-Type: application/json\r\n",
                           "{\"queued\":0,\"busy\":false,\"free_mb\":9.0}"));
    std::string Entries;
    {
      std::lock_guard<std::mutex> Lock(*Busy);
      sleepMs(WorkMs);
      json::value Body = json::parse(Request.Body);
      for (const json::value &Entry : Body.at("entries").as_array()) {
        char Handle[32];
        std::snprintf(Handle, sizeof Handle, "%lx", 0x51ab00UL + ++*Count);
        record::line("piece %s stage %s of %s at %s",
                     json::serialize(Entry.at("piece")).c_str(),
                     json::serialize(Entry.at("stage")).c_str(),
                     Entry.at("id").as_string().c_str(), Id.c_str());
        Entries += (Entries.empty() ? "" : ",") +
                   std::string("{\"handle\":\"") + *Address + "/" + Handle +
                   "\"}";
      }
    }
    return C.send(answer(
        200, "Content-Type: application/json\r\nX-Replica-Load: 0,0,1\r\n",
        "{\"entries\":[" + Entries + "]}"));
  };
}

inline std::string fileText(const std::string &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

/// Processes that this script started; all are ended with it.
class processes {
public:
  static void add(pid_t Pid) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Running.insert(Pid);
  }
  static void gone(pid_t Pid) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Running.erase(Pid);
  }
  static void endAll() {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (pid_t Pid : Running) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
    }
    Running.clear();
  }

private:
  static inline std::mutex Mutex;
  static inline std::set<pid_t> Running;
};

/// A machine with one entry host, at a loopback address of its own.
class host {
public:
  host(const std::string &Name, const std::string &Ip, const std::string &Zone,
       const std::string &Store, const std::vector<std::string> &Seeds,
       const std::string &Folder, int Base, const std::string &PeersListen = "")
      : Name(Name), Ip(Ip), Front(Base), Ready(Base + 1), Control(Base + 2) {
    File = Folder + "/" + Name + ".json";
    Log = Folder + "/" + Name + ".log";
    std::string Text = fileText("platform/settings/entry-host.json");
    auto Quoted = [](const std::string &T) { return "\"" + T + "\""; };
    std::string List;
    for (const std::string &Seed : Seeds)
      List += (List.empty() ? "" : ",") + Quoted(Seed);
    std::map<std::string, std::string> Values = {
        {"node_name", Quoted(Name)},
        {"az", Quoted(Zone)},
        {"region", "\"r\""},
        {"listen.front", Quoted(at(Front))},
        {"listen.ready", Quoted(at(Ready))},
        {"listen.control", Quoted(at(Control))},
        {"platform.address", Quoted(Store)},
        {"seeds", "[" + List + "]"},
        {"limits.cpu_share", "0.25"},
        {"limits.cores", "1"},
        {"bounds.budget_ratio", "0.2"},
        {"bounds.budget_slack", "52"},
        {"bounds.budget_window_s", "10"},
        {"bounds.grace_s", "8"}};
    std::size_t From = Text.find("{{#bounds.evac_ms}}");
    const std::string End = "{{/bounds.evac_ms}}";
    if (From != std::string::npos)
      Text.erase(From, Text.find(End) + End.size() - From);
    for (const auto &Value : Values) {
      std::string Mark = "{{" + Value.first + "|json}}";
      std::size_t Found = Text.find(Mark);
      if (Found != std::string::npos)
        Text.replace(Found, Mark.size(), Value.second);
    }
    // Other hosts reach this one through a proxy.
    if (!PeersListen.empty())
      Text.insert(Text.find('{') + 1,
                  "\n  \"peers_listen\": " + Quoted(PeersListen) + ",");
    std::ofstream(File) << Text;
  }
  std::string at(int Port) const { return Ip + ":" + std::to_string(Port); }

  void start() {
    Pid = ::fork();
    if (Pid == 0) {
      // Nothing outlives the script.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      const char *Given = std::getenv("DAEMON");
      ::execl(Given ? Given : "target/packages/entry/jasminecroftd",
              "jasminecroftd", "--serve", File.c_str(),
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    processes::add(Pid);
    record::line("host %s started", Name.c_str());
  }
  void signal(int Signal) const {
    ::kill(Pid, Signal);
    record::line("host %s gets signal %d", Name.c_str(), Signal);
  }
  /// Waits for the end of the process; false if it runs on.
  bool ended(long LimitMs) {
    for (long Waited = 0; Waited <= LimitMs; Waited += 20) {
      int Status = 0;
      if (::waitpid(Pid, &Status, WNOHANG) == Pid) {
        processes::gone(Pid);
        record::line("host %s ended, status %d", Name.c_str(), Status);
        return true;
      }
      sleepMs(20);
    }
    return false;
  }
  bool ready() const {
    auto C = connection::to(Ip, Ready, 300);
    message Reply;
    return C &&
           C->send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: "
                   "close\r\n\r\n") &&
           C->read(Reply, clock::now() + milliseconds(500)) &&
           Reply.status() == 200;
  }
  bool waitReady(long LimitMs) const {
    for (long Until = nowMs() + LimitMs; nowMs() < Until; sleepMs(30))
      if (ready())
        return true;
    return false;
  }

  std::string Name;
  std::string Ip;
  int Front;
  int Ready;
  int Control;
  pid_t Pid = -1;

private:
  std::string File;
  std::string Log;
};

/// Three ports that follow each other and are free at these addresses.
inline int freePorts(const std::vector<std::string> &Ips) {
  std::mt19937 Random(std::random_device{}());
  for (int Try = 0; Try < 200; ++Try) {
    int Base = 20000 + static_cast<int>(Random() % 10000);
    bool Free = true;
    for (const std::string &Ip : Ips)
      for (int Port = Base; Port < Base + 3 && Free; ++Port) {
        int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in Address{};
        Address.sin_family = AF_INET;
        Address.sin_port = htons(static_cast<std::uint16_t>(Port));
        inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
        Free = ::bind(Fd, reinterpret_cast<sockaddr *>(&Address),
                      sizeof Address) == 0;
        ::close(Fd);
      }
    if (Free)
      return Base;
  }
  return 0;
}

/// What a script needs around it: arguments, record, folder, ends.
class script {
public:
  explicit script(const std::string &CaseFolder) {
    std::signal(SIGPIPE, SIG_IGN);
    record::open(CaseFolder + "/record.txt");
    const char *Given = std::getenv("TROUBLE");
    Trouble = !Given || std::string(Given) != "0";
    char Template[] = "/tmp/review-3-XXXXXX";
    Folder = ::mkdtemp(Template);
    record::line("trouble: %s", Trouble ? "yes" : "no");
  }
  [[noreturn]] void end(int Code) const {
    Ending = true;
    processes::endAll();
    if (!std::getenv("KEEP"))
      std::filesystem::remove_all(Folder);
    record::line("result: %d (%s)", Code,
                 Code == 0   ? "the rule held"
                 : Code == 1 ? "the rule was broken"
                             : "the case could not run");
    std::printf("result: %d\n", Code);
    std::fflush(stdout);
    std::_Exit(Code);
  }
  bool Trouble = true;
  std::string Folder;
};

} // namespace kit
