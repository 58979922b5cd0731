// A proxy that forwards connections, and can let the open ones go silent, hold
// back or reset what they carry.
#pragma once

#include "kit.h"

namespace kit {

class proxy {
public:
  proxy(const std::string &Ip, int Port, const std::string &ToIp, int ToPort)
      : ToIp(ToIp), ToPort(ToPort),
        Server(Ip, Port, [this](connection &C) { forward(C); }) {}
  std::string address() const { return Server.address(); }
  int port() const { return Server.port(); }
  /// The open connections carry nothing any more; new ones work.
  int silence() {
    std::lock_guard<std::mutex> Lock(Mutex);
    int Count = 0;
    for (const std::weak_ptr<link> &Open : Links)
      if (std::shared_ptr<link> Link = Open.lock()) {
        Link->Silent = true;
        ++Count;
      }
    return Count;
  }

private:
  struct link {
    std::atomic<bool> Silent{false};
  };
  void forward(connection &From) {
    std::unique_ptr<connection> To = connection::to(ToIp, ToPort);
    if (!To) {
      From.reset();
      return;
    }
    auto Link = std::make_shared<link>();
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Links.push_back(Link);
    }
    std::thread Back([&] { pump(*To, From, *Link); });
    pump(From, *To, *Link);
    Back.join();
  }
  // A silent link does not even tell of its end.
  static void pump(connection &From, connection &To, link &Link) {
    char Text[16384];
    for (;;) {
      ssize_t Got = ::recv(From.fd(), Text, sizeof Text, 0);
      if (Got <= 0)
        break;
      if (!Link.Silent &&
          !To.send(std::string(Text, static_cast<std::size_t>(Got))))
        break;
    }
    if (!Link.Silent)
      ::shutdown(To.fd(), SHUT_RDWR);
  }

  std::string ToIp;
  int ToPort;
  std::mutex Mutex;
  std::vector<std::weak_ptr<link>> Links;
  listener Server;
};

} // namespace kit
