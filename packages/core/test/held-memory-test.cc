// Tests of what a host holds for callers and servers: who gives up, when a
// stream is read, and where large requests go.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/held_memory.h"
#include "jasminecroft/core/serving/read_pacing.h"
#include "jasminecroft/core/serving/request_bytes.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core_time Start{seconds(100)};
constexpr std::size_t Megabyte = 1'000'000;

class reader final : public held_memory::holder {
public:
  explicit reader(held_memory &Memory) : Memory(Memory) {}
  ~reader() override { Memory.release(*this); }
  void giveUpAnswer() override { GaveUp = true; }
  void holdUnread(std::size_t Bytes) {
    Memory.hold(held_kind::UnreadAnswer, *this, Bytes);
  }
  void holdArriving(std::size_t Bytes) {
    Memory.hold(held_kind::ArrivingAnswer, *this, Bytes);
  }

  held_memory &Memory;
  bool GaveUp = false;
};

} // namespace

TEST_CASE("the shares of a small machine leave half of it to the process") {
  for (std::size_t Machine : {120 * Megabyte, 160 * Megabyte}) {
    memory_shares Shares = sharesOf(Machine);
    CHECK(Shares.Together == Machine / 2);
    CHECK(Shares.RequestBodies == Machine / 4);
    CHECK(Shares.UnreadAnswers <= Machine / 4);
    CHECK(Shares.RequestBodies + Shares.ArrivingAnswers <=
          Shares.Together - Machine / 8);
  }
  CHECK(sharesOf(4'000 * Megabyte).UnreadAnswers == 33'554'432);
}

TEST_CASE("the answer that has not been read for longest gives up when all "
          "together are too large") {
  held_memory Memory({0, 0, 100, 100});
  reader First(Memory);
  reader Second(Memory);
  reader Third(Memory);
  First.holdUnread(20);
  Second.holdUnread(30);
  Memory.release(First);
  First.holdUnread(20);
  Third.holdUnread(60);
  CHECK(Second.GaveUp);
  CHECK_FALSE(First.GaveUp);
  CHECK_FALSE(Third.GaveUp);
  CHECK(Memory.total() == 80);
}

TEST_CASE("the largest of the answers that are read gives up when all together "
          "are too large") {
  held_memory Memory({0, 100, 0, 100});
  reader Small(Memory);
  reader Large(Memory);
  Small.holdArriving(40);
  Large.holdArriving(50);
  CHECK_FALSE(Large.GaveUp);
  Small.holdArriving(45);
  Small.holdArriving(45);
  CHECK_FALSE(Large.GaveUp);
  Small.holdArriving(49);
  CHECK(Memory.total() == 99);
  Large.holdArriving(52);
  CHECK(Large.GaveUp);
  CHECK_FALSE(Small.GaveUp);
  CHECK(Memory.total() == 49);
}

TEST_CASE("slow readers yield to answers that arrive and to requests, but not "
          "the other way") {
  held_memory Memory({50, 50, 50, 100});
  reader Oldest(Memory);
  reader Newest(Memory);
  reader Arriving(Memory);
  Oldest.holdUnread(10);
  Newest.holdUnread(30);
  CHECK(Memory.reserveBody(0, 35));
  Arriving.holdArriving(30);
  CHECK(Oldest.GaveUp);
  CHECK_FALSE(Newest.GaveUp);
  CHECK_FALSE(Memory.reserveBody(0, 20));
  CHECK(Memory.reserveBody(0, 10));
  CHECK(Newest.GaveUp);
  Newest.holdUnread(40);
  CHECK_FALSE(Arriving.GaveUp);
  CHECK(Memory.held(held_kind::RequestBody) == 45);
  Memory.releaseBody(45);
  CHECK(Memory.total() == 30);
}

TEST_CASE("large bodies leave a quarter of their share to small ones") {
  held_memory Memory({4 * Megabyte, 0, 0, 4 * Megabyte});
  CHECK(Memory.reserveBody(0, 3 * Megabyte));
  CHECK_FALSE(Memory.reserveBody(0, Megabyte / 2));
  CHECK(Memory.reserveBody(0, 60'000));
  // More of a body that was counted.
  CHECK_FALSE(Memory.reserveBody(3 * Megabyte, 3 * Megabyte + 1));
}

TEST_CASE("a stream is read at once while its caller reads") {
  read_pacing Pacing;
  for (int I = 0; I < 10; ++I)
    CHECK(Pacing.mayRead(MaxAheadBytes, Start + milliseconds(I)));
}

TEST_CASE("a stream waits until its caller has read") {
  read_pacing Pacing;
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes + 1, Start));
  CHECK_FALSE(Pacing.mayRead(ResumeBytes + 1, Start + milliseconds(900)));
  CHECK(Pacing.mayRead(ResumeBytes, Start + milliseconds(950)));
  // The next wait has its own time.
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes + 1, Start + seconds(1)));
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes + 1, Start + milliseconds(1'900)));
}

TEST_CASE("a server's bytes stay unread for a second at most, and all is read "
          "then until the caller reads") {
  read_pacing Pacing;
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes + 1, Start));
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes, Start + milliseconds(999)));
  CHECK(Pacing.mayRead(MaxAheadBytes, Start + seconds(1)));
  CHECK(Pacing.mayRead(9 * MaxAheadBytes, Start + milliseconds(1'001)));
  CHECK(Pacing.mayRead(ResumeBytes + 1, Start + seconds(5)));
  CHECK(Pacing.mayRead(ResumeBytes, Start + seconds(6)));
  CHECK_FALSE(Pacing.mayRead(MaxAheadBytes + 1, Start + seconds(7)));
}

TEST_CASE("a server with a large request gets no further one that is too much "
          "together") {
  backend_directory Servers;
  call_admission Admission(Servers, [](const backend_id &) { return true; });
  request_bytes Bytes;
  Bytes.setBound(Megabyte);
  Admission.addSource(Bytes);
  backend_entry Entry;
  Entry.Id = backend_id("s");
  Entry.Pool = pool_id("pool");
  Entry.Run = incarnation(1);
  Entry.Revision = object_version(1);
  Servers.update(Entry);
  auto ObstacleTo = [&](std::size_t Size) {
    call_subject Subject;
    Subject.RequestBytes = Size;
    return Admission.check(*Servers.find(Entry.Id), Subject, Start).Obstacle;
  };
  // One request may be larger than the bound.
  CHECK_FALSE(ObstacleTo(2 * Megabyte));
  Bytes.begin(Entry.Id, LargeRequestBytes);
  CHECK_FALSE(Bytes.active(Start));
  Bytes.begin(Entry.Id, Megabyte / 2);
  CHECK(ObstacleTo(Megabyte / 2 + 1) == admission_obstacle::RequestBytes);
  CHECK_FALSE(ObstacleTo(Megabyte / 2));
  CHECK_FALSE(ObstacleTo(LargeRequestBytes));
  Bytes.end(Entry.Id, LargeRequestBytes);
  Bytes.end(Entry.Id, Megabyte / 2);
  CHECK_FALSE(ObstacleTo(2 * Megabyte));
  CHECK(Bytes.inProgress(Entry.Id) == 0);
}
