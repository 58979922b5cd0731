// A platform that writes more than one answer to a call of the client of its
// objects.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/processes/raw_server.h"

#include <atomic>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <thread>

using namespace jasminecroft;
using namespace jasminecroft::processes;

namespace {

constexpr core_duration CallTimeout{3'000'000};

class platform_client {
public:
  explicit platform_client(const raw_server &Server)
      : Api(makeHttpObjectApi(
            Io, endpoint("127.0.0.1:" + std::to_string(Server.port())))) {}

  /// The version that comes with the answer; 0 without one.
  std::uint64_t get(const std::string &Key) {
    std::optional<platform_result> Result;
    Api->call(get_object{object_key(Key)}, CallTimeout,
              [&Result](platform_result R) { Result = std::move(R); });
    Io.restart();
    while (!Result)
      Io.run_one();
    const object_malformed *Answer = std::get_if<object_malformed>(&*Result);
    return Answer ? Answer->Version.Value : 0;
  }

private:
  boost::asio::io_context Io;
  std::unique_ptr<object_api> Api;
};

std::string versioned(int Version, std::size_t Bytes) {
  return answer("X-Object-Version: " + std::to_string(Version) + "\r\n",
                std::string(Bytes, 'x'));
}

} // namespace

TEST_CASE("an extra answer is not taken for that to the next call") {
  for (std::size_t Bytes : {std::size_t(10), std::size_t(200'000)})
    for (bool Later : {false, true}) {
      CAPTURE(Bytes);
      CAPTURE(Later);
      std::atomic<int> Calls = 0;
      raw_server Server(
          [&](const raw_request &, int, const raw_server::writer &Write) {
            std::string Text = versioned(++Calls, Bytes);
            if (!Later) {
              Write(Text + Text);
              return;
            }
            Write(Text);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            Write(Text);
          });
      platform_client Client(Server);
      for (std::uint64_t Call = 1; Call <= 3; ++Call) {
        CHECK(Client.get("a") == Call);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    }
}
