// Calls of a queue's owner, what becomes of their results, and whom it serves
// first.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch-owner-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool freed(const batch_owner_fixture &Test, const std::string &Server,
           const std::string &Handle) {
  auto Found = Test.Actions.Freed.find(backend_id(Server));
  return Found != Test.Actions.Freed.end() &&
         std::count(Found->second.begin(), Found->second.end(),
                    result_handle(Handle)) == 1;
}

} // namespace

TEST_CASE("results of a job that fails are freed") {
  batch_owner_fixture Test;
  Test.submit(Test.laterJob(1, 2));
  Test.pass(milliseconds(280));
  Test.answer(Test.onlyCall(), {Test.made("10.0.0.0:80/a"),
                                Test.failed(batch_item_problem::InputGone)});
  CHECK(Test.Actions.Failed.at(piece_job_id(1)) == piece_failure::InputGone);
  Test.pass(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/a"));
}

TEST_CASE("results of a cancelled job are freed") {
  batch_owner_fixture Test;
  // Two calls, of which the first is answered when the job is cancelled.
  Test.submit(Test.job(1, 10));
  Test.pass(milliseconds(400));
  Test.answerAll(Test.onlyCall());
  Test.Owner.cancel(Test.Host, piece_job_id(1), Test.Now);
  Test.pass(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/r1.0"));
  Test.answerAll(Test.onlyCall());
  Test.pass(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/r1.9"));
}

TEST_CASE("results that an earlier owner had made are freed where they lie") {
  batch_owner_fixture Test(2);
  Test.Owner.release({result_handle("10.0.0.1:80/elsewhere")}, Test.Now);
  Test.pass(milliseconds(500));
  CHECK(freed(Test, "s1", "10.0.0.1:80/elsewhere"));
}

TEST_CASE("inputs are kept while another host's call may be ahead") {
  batch_owner_fixture Test;
  // The first call here may wait at the server: another host may use it.
  Test.submit(Test.laterJob(1, 2));
  Test.pass(milliseconds(200));
  CHECK(Test.Actions.Fetched.empty());
  SUBCASE("a prompt answer shows that none is") {
    Test.pass(milliseconds(80));
    Test.answerAll(Test.onlyCall());
    Test.submit(Test.laterJob(2, 2));
    Test.pass(milliseconds(200));
    CHECK(Test.Actions.Fetched == std::vector<piece_job_id>{piece_job_id(2)});
  }
  SUBCASE("a slow one does not") {
    Test.pass(milliseconds(500));
    Test.answerAll(Test.onlyCall());
    Test.submit(Test.laterJob(2, 2));
    Test.pass(milliseconds(200));
    CHECK(Test.Actions.Fetched.empty());
  }
  SUBCASE("nor does one of long ago") {
    Test.pass(milliseconds(80));
    Test.answerAll(Test.onlyCall());
    Test.pass(seconds(3));
    Test.submit(Test.laterJob(2, 2));
    Test.pass(milliseconds(200));
    CHECK(Test.Actions.Fetched.empty());
  }
}
