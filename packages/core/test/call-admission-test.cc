// Tests of the admission of calls to backend servers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/call_admission.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("pool");
const core_time Now{seconds(100)};
constexpr admission_purpose AllPurposes[] = {
    admission_purpose::Request, admission_purpose::Pieces,
    admission_purpose::FreeResults, admission_purpose::LoadQuery};

/// Turns down all calls to one server until a time.
class fake_source final : public admission_source {
public:
  bool active(core_time) const override { return !Barred.empty(); }
  admission_answer check(const backend_state &Server, const call_subject &,
                         core_time) override {
    if (Server.Entry.Id == Barred)
      return {admission_obstacle::Paused, Until};
    return {};
  }
  void onAdmitted(const backend_state &, const call_subject &,
                  core_time) override {
    ++Counted;
  }

  backend_id Barred;
  std::optional<core_time> Until;
  int Counted = 0;
};

class admission_fixture {
public:
  explicit admission_fixture(int Count = 2) {
    for (int I = 0; I < Count; ++I) {
      Servers.update(entry(I));
    }
  }

  static backend_id id(int Server) {
    return backend_id("s" + std::to_string(Server));
  }
  static backend_entry entry(int Server) {
    backend_entry Entry;
    Entry.Id = id(Server);
    Entry.Pool = Pool;
    Entry.Run = incarnation(1);
    Entry.Revision = object_version(1);
    return Entry;
  }
  void limit(int Server, double PerSecond) {
    Servers.limits().onReply(id(Server), incarnation(1), {PerSecond}, Now, Now);
  }
  std::optional<admission_obstacle>
  obstacle(int Server, admission_purpose Purpose = admission_purpose::Request,
           core_time Time = Now) {
    return Admission.check(*Servers.find(id(Server)), {Purpose}, Time).Obstacle;
  }

  backend_directory Servers;
  bool CountsHere = false;
  call_admission Admission{Servers,
                           [this](const backend_id &) { return CountsHere; }};
};

} // namespace

TEST_CASE("servers that leave or are not listed admit no new work") {
  admission_fixture Test;
  Test.Servers.markLeaving(Test.id(0));
  for (admission_purpose Purpose :
       {admission_purpose::Request, admission_purpose::Pieces,
        admission_purpose::LoadQuery})
    CHECK(Test.obstacle(0, Purpose) == admission_obstacle::NotUsable);
  CHECK_FALSE(Test.obstacle(0, admission_purpose::FreeResults));
  CHECK_FALSE(Test.Admission.admit(Test.id(0), {}, Now));
  Test.Servers.remove(Test.id(1), object_version(2), Now);
  CHECK(Test.obstacle(1, admission_purpose::FreeResults) ==
        admission_obstacle::NotUsable);
  CHECK_FALSE(Test.Admission.admit(backend_id("unknown"), {}, Now));
}

TEST_CASE("a paused server admits calls of no purpose until the pause ends") {
  admission_fixture Test;
  core_time End = Now + seconds(2);
  Test.Servers.pause(Test.entry(0), End, Now);
  for (admission_purpose Purpose : AllPurposes) {
    CHECK(Test.obstacle(0, Purpose) == admission_obstacle::Paused);
    CHECK_FALSE(Test.obstacle(0, Purpose, End));
  }
  CHECK(Test.Admission.candidates(Pool, {}, Now).size() == 1);
}

TEST_CASE("a request to a limited server needs the host that counts") {
  admission_fixture Test;
  Test.limit(0, 10);
  CHECK(Test.obstacle(0) == admission_obstacle::Limited);
  call_subject Counted;
  Counted.CountedFor = Test.id(0);
  CHECK(Test.Admission.admit(Test.id(0), Counted, Now));
  Test.CountsHere = true;
  // Begins without a token.
  CHECK(Test.obstacle(0) == admission_obstacle::Limited);
  core_time Later = Now + seconds(1);
  CHECK(Test.Admission.admit(Test.id(0), {}, Later));
  int Admitted = 0;
  while (Test.Admission.admit(Test.id(0), {}, Later))
    ++Admitted;
  CHECK(Admitted <= 10);
}

TEST_CASE("a server that failed gets requests if there is no other, but no "
          "pieces and no questions") {
  admission_fixture Test;
  Test.Servers.onCallFailed(Test.id(0), Now);
  CHECK_FALSE(Test.obstacle(0, admission_purpose::Request));
  CHECK(Test.obstacle(0, admission_purpose::Pieces) ==
        admission_obstacle::Backoff);
  CHECK(Test.obstacle(0, admission_purpose::LoadQuery) ==
        admission_obstacle::Backoff);
}

TEST_CASE("a request with a quarantined part is admitted nowhere") {
  admission_fixture Test;
  call_subject Subject;
  Subject.Quarantined = true;
  CHECK(Test.Admission.candidates(Pool, Subject, Now).empty());
  CHECK_FALSE(Test.Admission.admit(Test.id(0), Subject, Now));
}

TEST_CASE("an obstacle ends with the last of a server's obstacles") {
  admission_fixture Test;
  fake_source Source;
  Source.Barred = Test.id(0);
  Source.Until = Now + seconds(3);
  Test.Admission.addSource(Source);
  Test.Servers.pause(Test.entry(0), Now + seconds(1), Now);
  CHECK(Test.Admission.check(*Test.Servers.find(Test.id(0)), {}, Now).Until ==
        Source.Until);
  Source.Until.reset();
  CHECK_FALSE(
      Test.Admission.check(*Test.Servers.find(Test.id(0)), {}, Now).Until);
}

TEST_CASE("every admitted call is counted by the sources") {
  admission_fixture Test;
  fake_source Source;
  Source.Barred = Test.id(0);
  Test.Admission.addSource(Source);
  for (admission_purpose Purpose : AllPurposes) {
    CHECK_FALSE(Test.Admission.admit(Test.id(0), {Purpose}, Now));
    CHECK(Test.Admission.admit(Test.id(1), {Purpose}, Now));
  }
  CHECK(Source.Counted == 4);
}

TEST_CASE("the first opening of a pool is the earliest end of an obstacle") {
  admission_fixture Test;
  CHECK(Test.Admission.firstOpening(Pool, {}, Now).admitted());
  Test.Servers.pause(Test.entry(0), Now + seconds(5), Now);
  CHECK(Test.Admission.firstOpening(Pool, {}, Now).admitted());
  Test.Servers.pause(Test.entry(1), Now + seconds(2), Now);
  admission_answer First = Test.Admission.firstOpening(Pool, {}, Now);
  CHECK(First.Obstacle == admission_obstacle::Paused);
  CHECK(First.Until == Now + seconds(2));
  CHECK(Test.Admission.firstOpening(pool_id("none"), {}, Now).Obstacle ==
        admission_obstacle::NotUsable);
}
